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
 * One initiator whose clients and targets are controlled by the test. Every frame that they receive
 * is queued until the test takes it.
 */
final class ScriptedPeers implements AutoCloseable {
    static final String DEPLOYMENT =
            """
            {initiators: 1, categories: [
              {name: "read", repeats: "harmless", agreedTime: "400 ms", importance: 2},
              {name: "write", repeats: "one-shot", agreedTime: "500 ms", importance: 2},
              {name: "slow", repeats: "harmless", agreedTime: "5 s"}],
             plans: [{name: "basic"}], bounds: {answerSlack: "100 ms"}}""";

    /** A frame that a peer received; null if the connection closed. */
    record Received(PeerConnection connection, Frame frame) {}

    /** A client or target that sends nothing unless the test does. */
    static final class Peer implements PeerListener {
        final LinkedBlockingQueue<Received> received = new LinkedBlockingQueue<>();
        volatile PeerConnection connection;

        @Override
        public void onReady(PeerConnection newConnection) {
            connection = newConnection;
        }

        @Override
        public void onFrame(PeerConnection connection, Frame frame) {
            received.add(new Received(connection, frame));
        }

        @Override
        public void onGoingAway(PeerConnection connection, String reason) {
            received.add(
                    new Received(
                            connection,
                            Frame.newBuilder()
                                    .setGoingAway(GoingAway.newBuilder().setReason(reason))
                                    .build()));
        }

        @Override
        public void onClosed(PeerConnection connection, String reason) {
            received.add(new Received(connection, null));
        }

        Frame next(long millis) throws InterruptedException {
            Received next = received.poll(millis, TimeUnit.MILLISECONDS);
            return next == null ? null : next.frame();
        }

        Received nextAttempt() throws InterruptedException {
            for (Received next = received.poll(3, TimeUnit.SECONDS);
                    next != null;
                    next = received.poll(3, TimeUnit.SECONDS)) {
                if (next.frame() != null && next.frame().hasAttempt()) {
                    return next;
                }
            }
            throw new AssertionError("no attempt was received within 3 s");
        }

        Response nextResponse(long millis) throws InterruptedException {
            Frame frame = next(millis);
            if (frame != null && frame.hasGoingAway()) {
                frame = next(millis);
            }
            return frame != null && frame.hasResponse() ? frame.getResponse() : null;
        }
    }

    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    final Discovery discovery;
    final SocketNetwork network;
    final Initiator initiator;
    final Peer client = new Peer();
    private long number;

    ScriptedPeers(
            InitiatorConfig.Transport transport,
            InitiatorConfig.CapacityLimits capacity,
            Path folder)
            throws Exception {
        this(transport, capacity, folder, null);
    }

    /**
     * Starts an initiator with a scripted client.
     *
     * @param fleet a fleet file that the initiator watches; null for the default deployment
     */
    ScriptedPeers(
            InitiatorConfig.Transport transport,
            InitiatorConfig.CapacityLimits capacity,
            Path folder,
            InitiatorConfig.FleetFile fleet)
            throws Exception {
        discovery = new Discovery(0, 1, timer, FrameObserver.NONE);
        network = new SocketNetwork("scripted-peers", 2, FrameObserver.NONE);
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
                                capacity,
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

    static InitiatorConfig.Transport transport(long frameTimeoutMicros) {
        return new InitiatorConfig.Transport(
                200_000, 30_000_000, 2, 100, 250_000, 65_536, 1 << 20, frameTimeoutMicros, 2);
    }

    void connect(Peer peer) throws Exception {
        network.connect(
                "127.0.0.1",
                initiator.port(),
                Role.CLIENT,
                peer,
                FrameLimits.DEFAULT,
                reason -> {});
        await(() -> peer.connection != null, "the client is connected");
    }

    /** Adds a scripted target, which is in the endpoint list of the initiator when this returns. */
    Peer target(String id, int shard) throws Exception {
        Peer peer = new Peer();
        int port = network.listen("127.0.0.1", 0, Role.TARGET, peer, FrameLimits.DEFAULT).port();
        publish(id, shard, port, Health.ACTIVE);
        return peer;
    }

    void publish(String id, int shard, int port, Health health) throws Exception {
        long listsBefore = initiator.counters().get(Counter.ENDPOINT_LISTS);
        await(
                () -> initiator.counters().get(Counter.ENDPOINT_LISTS) > 0,
                "the first endpoint list is received");
        discovery.update(
                Target.newBuilder()
                        .setId(id)
                        .setShard(shard)
                        .setZone("z")
                        .setHealth(health)
                        .setHost("127.0.0.1")
                        .setPort(port)
                        .build());
        await(
                () -> initiator.counters().get(Counter.ENDPOINT_LISTS) > listsBefore,
                "the endpoint list is received");
        Thread.sleep(20);
    }

    long sendRequest(Peer client, String requestClass, int shard, long timeLeftMillis) {
        client.connection.send(
                Frame.newBuilder()
                        .setRequest(
                                Request.newBuilder()
                                        .setNumber(++number)
                                        .setShard(shard)
                                        .setVolume("v")
                                        .setPlan("basic")
                                        .setRequestClass(requestClass)
                                        .setInitiatorCount(1)
                                        .setUnits(1)
                                        .setTimeLeftMicros(timeLeftMillis * 1000))
                        .build());
        return number;
    }

    static void reply(Received received, Outcome outcome) {
        Attempt attempt = received.frame().getAttempt();
        received.connection()
                .send(
                        Frame.newBuilder()
                                .setAttemptReply(
                                        AttemptReply.newBuilder()
                                                .setNumber(attempt.getNumber())
                                                .setOutcome(outcome))
                                .build());
    }

    long count(Counter count) {
        return initiator.counters().get(count);
    }

    /** Returns the number of requests pending in the event loop. */
    int pendingRequests() throws InterruptedException {
        LinkedBlockingQueue<Integer> result = new LinkedBlockingQueue<>();
        initiator.eventLoop().readMetrics(snapshot -> result.add(snapshot.pendingRequests()));
        return result.take();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(Condition condition, String description) throws Exception {
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!condition.holds()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not within 10 s: " + description);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        initiator.kill();
        discovery.stop();
        network.abort();
        timer.shutdownNow();
    }
}
