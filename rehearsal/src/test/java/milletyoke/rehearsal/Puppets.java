package milletyoke.rehearsal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.setup.Address;
import milletyoke.gateway.setup.Deployment;
import milletyoke.gateway.setup.Form;
import milletyoke.gateway.setup.FromFleet;
import milletyoke.gateway.setup.Setup;
import milletyoke.standins.Discovery;
import milletyoke.wire.Bounds;
import milletyoke.wire.Peer;
import milletyoke.wire.PeerHandler;
import milletyoke.wire.Tap;
import milletyoke.wire.Wire;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.GoingAway;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Relay;
import milletyoke.wire.proto.Reply;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.Target;

/**
 * One initiator between ends that a test moves by hand: every frame they get is kept until the test
 * takes it.
 */
final class Puppets implements AutoCloseable {
    static final String DEPLOYMENT =
            """
            {initiators: 1, categories: [
              {name: "read", repeats: "harmless", agreedTime: "400 ms", importance: 2},
              {name: "write", repeats: "one-shot", agreedTime: "500 ms", importance: 2},
              {name: "slow", repeats: "harmless", agreedTime: "5 s"}],
             plans: [{name: "basic"}], bounds: {answerSlack: "100 ms"}}""";

    /** What one end got: the frame, or null for the connection's end. */
    record Got(Peer peer, Frame frame) {}

    /** An end that answers nothing of itself. */
    static final class End implements PeerHandler {
        final LinkedBlockingQueue<Got> got = new LinkedBlockingQueue<>();
        volatile Peer peer;

        @Override
        public void ready(Peer made) {
            peer = made;
        }

        @Override
        public void got(Peer from, Frame frame) {
            got.add(new Got(from, frame));
        }

        @Override
        public void goingAway(Peer from, String why) {
            got.add(
                    new Got(
                            from,
                            Frame.newBuilder()
                                    .setGoingAway(GoingAway.newBuilder().setWhy(why))
                                    .build()));
        }

        @Override
        public void closed(Peer gone, String why) {
            got.add(new Got(gone, null));
        }

        Frame next(long millis) throws InterruptedException {
            Got next = got.poll(millis, TimeUnit.MILLISECONDS);
            return next == null ? null : next.frame();
        }

        Got nextRelay() throws InterruptedException {
            for (Got next = got.poll(3, TimeUnit.SECONDS);
                    next != null;
                    next = got.poll(3, TimeUnit.SECONDS)) {
                if (next.frame() != null && next.frame().hasRelay()) {
                    return next;
                }
            }
            throw new AssertionError("no relay came within 3 s");
        }

        Answer nextAnswer(long millis) throws InterruptedException {
            Frame frame = next(millis);
            if (frame != null && frame.hasGoingAway()) {
                frame = next(millis);
            }
            return frame != null && frame.hasAnswer() ? frame.getAnswer() : null;
        }
    }

    final ScheduledExecutorService clockwork = Executors.newScheduledThreadPool(2);
    final Discovery discovery;
    final Wire wire;
    final Initiator initiator;
    final End client = new End();
    private long number;

    Puppets(Setup.Transport transport, Setup.Room room, Path folder) throws Exception {
        this(transport, room, folder, null);
    }

    /**
     * @param fleet a configuration that the initiator follows, in place of the usual deployment
     */
    Puppets(Setup.Transport transport, Setup.Room room, Path folder, Setup.FleetFile fleet)
            throws Exception {
        discovery = new Discovery(0, 1, clockwork, Tap.NONE);
        wire = new Wire("puppets", 2, Tap.NONE);
        Deployment deployment =
                fleet == null
                        ? Deployment.read(Form.of("test", DEPLOYMENT))
                        : FromFleet.deployment(fleet.fleet());
        initiator =
                Initiator.start(
                        new Setup(
                                "initiator-1",
                                1,
                                new Address("127.0.0.1", 0),
                                new Address("127.0.0.1", discovery.port()),
                                folder,
                                deployment,
                                transport,
                                room,
                                null,
                                fleet),
                        Tap.NONE);
        connect(client);
    }

    Puppets() throws Exception {
        this(transport(5_000_000), new Setup.Room(1000, 4096, 100, 1e6, 3_600_000_000L), null);
    }

    static Setup.Transport transport(long partial) {
        return new Setup.Transport(
                200_000, 30_000_000, 2, 100, 250_000, 65_536, 1 << 20, partial, 2);
    }

    void connect(End end) throws Exception {
        wire.connect("127.0.0.1", initiator.port(), Role.CLIENT, end, Bounds.USUAL, why -> {});
        until(() -> end.peer != null, "the client is connected");
    }

    /** A target that a test moves by hand, known to the initiator when this returns. */
    End target(String id, int shard) throws Exception {
        End end = new End();
        int port = wire.listen("127.0.0.1", 0, Role.TARGET, end, Bounds.USUAL).port();
        list(id, shard, port, Health.ON);
        return end;
    }

    void list(String id, int shard, int port, Health health) throws Exception {
        long lists = initiator.counts().of(Count.LISTS);
        until(() -> initiator.counts().of(Count.LISTS) > 0, "the first list has come");
        discovery.learn(
                Target.newBuilder()
                        .setId(id)
                        .setShard(shard)
                        .setZone("z")
                        .setHealth(health)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .build());
        until(() -> initiator.counts().of(Count.LISTS) > lists, "the list has come");
        Thread.sleep(20);
    }

    long ask(End from, String category, int shard, long timeLeftMillis) {
        from.peer.send(
                Frame.newBuilder()
                        .setAccess(
                                Access.newBuilder()
                                        .setNumber(++number)
                                        .setShard(shard)
                                        .setVolume("v")
                                        .setPlan("basic")
                                        .setCategory(category)
                                        .setHosts(1)
                                        .setUnits(1)
                                        .setTimeLeft(timeLeftMillis * 1000))
                        .build());
        return number;
    }

    static void reply(Got relay, Outcome outcome) {
        Relay r = relay.frame().getRelay();
        relay.peer()
                .send(
                        Frame.newBuilder()
                                .setReply(
                                        Reply.newBuilder()
                                                .setNumber(r.getNumber())
                                                .setOutcome(outcome))
                                .build());
    }

    long count(Count count) {
        return initiator.counts().of(count);
    }

    /** What the loop holds now. */
    int held() throws InterruptedException {
        LinkedBlockingQueue<Integer> shown = new LinkedBlockingQueue<>();
        initiator.loop().show(f -> shown.add(f.held()));
        return shown.take();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void until(Condition condition, String what) throws Exception {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("10 s passed until " + what);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        initiator.kill();
        discovery.stop();
        wire.abort();
        clockwork.shutdownNow();
    }
}
