package milletyoke.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.Initiator;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.config.SettingsReader;
import milletyoke.gateway.loop.Counter;
import milletyoke.standins.Discovery;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.SocketNetwork;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.GoingAway;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.Target;

/**
 * One initiator between ends that a test moves by hand: every frame they get is kept until the test
 * takes it.
 */
final class ScriptedPeers implements AutoCloseable {
    static final String DEPLOYMENT =
            """
            {initiators: 1, categories: [
              {name: "read", repeats: "harmless", agreedTime: "400 ms", importance: 2},
              {name: "write", repeats: "one-shot", agreedTime: "500 ms", importance: 2},
              {name: "slow", repeats: "harmless", agreedTime: "5 s"}],
             plans: [{name: "basic"}], bounds: {answerSlack: "100 ms"}}""";

    /** What one end got: the frame, or null for the connection's end. */
    record Got(PeerConnection peer, Frame frame) {}

    /** An end that answers nothing of itself. */
    static final class End implements PeerListener {
        final LinkedBlockingQueue<Got> got = new LinkedBlockingQueue<>();
        volatile PeerConnection peer;

        @Override
        public void onReady(PeerConnection made) {
            peer = made;
        }

        @Override
        public void onFrame(PeerConnection from, Frame frame) {
            got.add(new Got(from, frame));
        }

        @Override
        public void onGoingAway(PeerConnection from, String why) {
            got.add(
                    new Got(
                            from,
                            Frame.newBuilder()
                                    .setGoingAway(GoingAway.newBuilder().setReason(why))
                                    .build()));
        }

        @Override
        public void onClosed(PeerConnection gone, String why) {
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
                if (next.frame() != null && next.frame().hasAttempt()) {
                    return next;
                }
            }
            throw new AssertionError("no relay came within 3 s");
        }

        Response nextAnswer(long millis) throws InterruptedException {
            Frame frame = next(millis);
            if (frame != null && frame.hasGoingAway()) {
                frame = next(millis);
            }
            return frame != null && frame.hasResponse() ? frame.getResponse() : null;
        }
    }

    final ScheduledExecutorService clockwork = Executors.newScheduledThreadPool(2);
    final Discovery discovery;
    final SocketNetwork wire;
    final Initiator initiator;
    final End client = new End();
    private long number;

    ScriptedPeers(
            InitiatorConfig.Transport transport, InitiatorConfig.CapacityLimits room, Path folder)
            throws Exception {
        this(transport, room, folder, null);
    }

    /**
     * @param fleet a configuration that the initiator follows, in place of the usual deployment
     */
    ScriptedPeers(
            InitiatorConfig.Transport transport,
            InitiatorConfig.CapacityLimits room,
            Path folder,
            InitiatorConfig.FleetFile fleet)
            throws Exception {
        discovery = new Discovery(0, 1, clockwork, FrameObserver.NONE);
        wire = new SocketNetwork("puppets", 2, FrameObserver.NONE);
        DeploymentSettings deployment =
                fleet == null
                        ? DeploymentSettings.read(SettingsReader.of("test", DEPLOYMENT))
                        : FleetConverter.deployment(fleet.fleet());
        initiator =
                Initiator.start(
                        new InitiatorConfig(
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
                        FrameObserver.NONE);
        connect(client);
    }

    ScriptedPeers() throws Exception {
        this(
                transport(5_000_000),
                new InitiatorConfig.CapacityLimits(1000, 4096, 100, 1e6, 3_600_000_000L),
                null);
    }

    static InitiatorConfig.Transport transport(long partial) {
        return new InitiatorConfig.Transport(
                200_000, 30_000_000, 2, 100, 250_000, 65_536, 1 << 20, partial, 2);
    }

    void connect(End end) throws Exception {
        wire.connect(
                "127.0.0.1", initiator.port(), Role.CLIENT, end, FrameLimits.DEFAULT, why -> {});
        until(() -> end.peer != null, "the client is connected");
    }

    /** A target that a test moves by hand, known to the initiator when this returns. */
    End target(String id, int shard) throws Exception {
        End end = new End();
        int port = wire.listen("127.0.0.1", 0, Role.TARGET, end, FrameLimits.DEFAULT).port();
        list(id, shard, port, Health.ACTIVE);
        return end;
    }

    void list(String id, int shard, int port, Health health) throws Exception {
        long lists = initiator.counters().get(Counter.ENDPOINT_LISTS);
        until(
                () -> initiator.counters().get(Counter.ENDPOINT_LISTS) > 0,
                "the first list has come");
        discovery.update(
                Target.newBuilder()
                        .setId(id)
                        .setShard(shard)
                        .setZone("z")
                        .setHealth(health)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .build());
        until(() -> initiator.counters().get(Counter.ENDPOINT_LISTS) > lists, "the list has come");
        Thread.sleep(20);
    }

    long ask(End from, String category, int shard, long timeLeftMillis) {
        from.peer.send(
                Frame.newBuilder()
                        .setRequest(
                                Request.newBuilder()
                                        .setNumber(++number)
                                        .setShard(shard)
                                        .setVolume("v")
                                        .setPlan("basic")
                                        .setRequestClass(category)
                                        .setInitiatorCount(1)
                                        .setUnits(1)
                                        .setTimeLeftMicros(timeLeftMillis * 1000))
                        .build());
        return number;
    }

    static void reply(Got relay, Outcome outcome) {
        Attempt r = relay.frame().getAttempt();
        relay.peer()
                .send(
                        Frame.newBuilder()
                                .setAttemptReply(
                                        AttemptReply.newBuilder()
                                                .setNumber(r.getNumber())
                                                .setOutcome(outcome))
                                .build());
    }

    long count(Counter count) {
        return initiator.counters().get(count);
    }

    /** What the loop holds now. */
    int held() throws InterruptedException {
        LinkedBlockingQueue<Integer> shown = new LinkedBlockingQueue<>();
        initiator.eventLoop().readMetrics(f -> shown.add(f.pendingRequests()));
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
