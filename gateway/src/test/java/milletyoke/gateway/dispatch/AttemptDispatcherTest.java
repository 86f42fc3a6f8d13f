package milletyoke.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.gateway.loop.Counters;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that each attempt gets exactly one, correct outcome, however its connections behave. Uses
 * no sockets and no clock.
 */
class AttemptDispatcherTest implements AttemptListener, Connector {
    private static final long CONNECT_TIMEOUT_MICROS = 1000;
    private static final long IDLE_TIMEOUT_MICROS = 100_000;
    private static final long PROBE_TIMEOUT_MICROS = 5000;

    private final Map<String, Outcome> outcomes = new LinkedHashMap<>();
    private final List<String> probeResults = new ArrayList<>();
    private final Map<Long, String> pendingConnects = new LinkedHashMap<>();
    private final List<FakeConnection> connections = new ArrayList<>();

    /** Requests whose attempt ended while a connection was open. */
    private final List<String> endedWithOpenConnection = new ArrayList<>();

    private final AttemptDispatcher dispatcher =
            new AttemptDispatcher(
                    new Transport(
                            CONNECT_TIMEOUT_MICROS,
                            IDLE_TIMEOUT_MICROS,
                            2,
                            3,
                            PROBE_TIMEOUT_MICROS,
                            1 << 20,
                            1 << 20,
                            1,
                            1),
                    this,
                    this,
                    new Counters(),
                    new WriteBatch());

    /** Connection that records the frames sent on it. */
    private static final class FakeConnection implements Connection {
        final int id;
        final String target;
        final List<Frame> sent = new ArrayList<>();
        boolean open = true;
        boolean refuses;

        FakeConnection(int id, String target) {
            this.id = id;
            this.target = target;
        }

        @Override
        public int id() {
            return id;
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public boolean send(Frame frame) {
            if (open && !refuses) {
                sent.add(frame);
            }
            return open && !refuses;
        }

        @Override
        public void closeWithReason(String reason) {
            open = false;
        }

        @Override
        public void close(String reason) {
            open = false;
        }
    }

    @Override
    public PendingConnect connect(String target, Address address, long connectNumber) {
        pendingConnects.put(connectNumber, target);
        return () -> {};
    }

    @Override
    public void onAttemptEnded(
            String requestId,
            int attemptNumber,
            Outcome outcome,
            long latencyMicros,
            Load load,
            ByteString payload) {
        Outcome previous = outcomes.put(requestId, outcome);
        assertEquals(null, previous, requestId + " ended twice");
        if (connections.stream().anyMatch(connection -> connection.open)) {
            endedWithOpenConnection.add(requestId);
        }
    }

    @Override
    public void onProbeEnded(
            String target, Outcome outcome, long latencyMicros, double queueLength) {
        probeResults.add(target + " " + outcome + " " + queueLength);
    }

    private FakeConnection establish(long now, long connectNumber) {
        FakeConnection connection =
                new FakeConnection(connections.size(), pendingConnects.remove(connectNumber));
        connections.add(connection);
        dispatcher.connectSucceeded(now, connection.target, connectNumber, connection);
        return connection;
    }

    private long lastConnectNumber() {
        return pendingConnects.keySet().stream().reduce((first, second) -> second).orElseThrow();
    }

    private void sendAttempt(long now, String id) {
        dispatcher.sendAttempt(
                now, "a", id, 0, now + 10_000, Attempt.newBuilder().setRequestId(id));
    }

    private void reply(
            long now, FakeConnection connection, int sent, milletyoke.wire.proto.Outcome outcome) {
        dispatcher.attemptReplied(
                now,
                now,
                connection,
                AttemptReply.newBuilder()
                        .setNumber(connection.sent.get(sent).getAttempt().getNumber())
                        .setOutcome(outcome)
                        .build());
    }

    @Test
    void attemptToUnlistedTargetEndsAsNoConnection() {
        sendAttempt(0, "r");
        assertEquals(Map.of("r", Outcome.NO_CONNECTION), outcomes);
    }

    @Test
    void waitingAttemptIsSentOnceConnected() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "r");
        FakeConnection connection = establish(10, lastConnectNumber());
        reply(20, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("r", Outcome.SUCCEEDED), outcomes);
    }

    @Test
    void connectTimeoutEndsAsNoConnectionAndLateConnectionIsClosed() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "r");
        long connectNumber = lastConnectNumber();
        dispatcher.handleTimeouts(CONNECT_TIMEOUT_MICROS - 1);
        assertEquals(Map.of(), outcomes);
        dispatcher.handleTimeouts(CONNECT_TIMEOUT_MICROS);
        assertEquals(Map.of("r", Outcome.NO_CONNECTION), outcomes);
        dispatcher.handleTimeouts(CONNECT_TIMEOUT_MICROS * 300);
        assertTrue(
                !establish(CONNECT_TIMEOUT_MICROS * 300, connectNumber).open,
                "its connect was cancelled before");
    }

    @Test
    void deadlineEndsUnsentAsNotStartedAndSentAsTimedOut() {
        dispatcher.targetListed("a", new Address("h", 1));
        dispatcher.sendAttempt(0, "a", "expired", 0, 500, Attempt.newBuilder());
        dispatcher.handleTimeouts(500);
        sendAttempt(600, "late");
        FakeConnection connection = establish(700, lastConnectNumber());
        dispatcher.handleTimeouts(10_600);
        reply(10_700, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("expired", Outcome.NOT_STARTED, "late", Outcome.TIMED_OUT), outcomes);
    }

    @Test
    void cancelEndsUnsentAsNotStartedAndSentAsCancelled() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "unsent");
        dispatcher.cancelAttempt(1, "unsent", 0);
        sendAttempt(2, "sent");
        FakeConnection connection = establish(10, lastConnectNumber());
        dispatcher.cancelAttempt(20, "sent", 0);
        assertEquals(Map.of("unsent", Outcome.NOT_STARTED, "sent", Outcome.CANCELLED), outcomes);
        assertTrue(connection.sent.get(1).hasCancelAttempt());
        assertEquals(
                1,
                connection.sent.stream().filter(Frame::hasAttempt).count(),
                "a cancelled attempt must not be sent");
    }

    @Test
    void lostConnectionResetsOnlyWhatWasSent() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "sent");
        FakeConnection connection = establish(10, lastConnectNumber());
        connection.refuses = true; // already closed, but the dispatcher has not been notified yet
        sendAttempt(11, "unsent");
        dispatcher.connectionLost(20, "a", connection, false, 0);
        assertEquals(Map.of("sent", Outcome.RESET), outcomes);
        establish(30, lastConnectNumber());
        assertEquals("unsent", connections.get(1).sent.get(0).getAttempt().getRequestId());
    }

    /**
     * A target over its connection limit refuses a new connection: attempts sent on it never ran.
     */
    @Test
    void refusedConnectionEndsAsNoConnectionUnlessItHadReplied() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "never ran");
        FakeConnection connection = establish(10, lastConnectNumber());
        dispatcher.connectionLost(20, "a", connection, true, 0);
        assertEquals(Map.of("never ran", Outcome.NO_CONNECTION), outcomes);
        outcomes.clear();
        sendAttempt(30, "answered");
        sendAttempt(31, "unsure");
        FakeConnection other = establish(40, lastConnectNumber());
        dispatcher.attemptReplied(
                50,
                50,
                other,
                AttemptReply.newBuilder()
                        .setNumber(other.sent.get(0).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
        dispatcher.connectionLost(60, "a", other, true, 0);
        assertEquals(Map.of("answered", Outcome.SUCCEEDED, "unsure", Outcome.RESET), outcomes);
    }

    @Test
    void connectionsAndStreamsAreLimited() {
        dispatcher.targetListed("a", new Address("h", 1));
        for (int i = 0; i < 3; i++) {
            sendAttempt(0, "r" + i);
        }
        FakeConnection first = establish(1, 1);
        FakeConnection second = establish(1, 2);
        for (int i = 3; i < 8; i++) {
            sendAttempt(2, "r" + i);
        }
        assertEquals(3, first.sent.size());
        assertEquals(3, second.sent.size());
        assertEquals(Map.of("r6", Outcome.NO_CONNECTION, "r7", Outcome.NO_CONNECTION), outcomes);
        assertEquals(0, pendingConnects.size(), "at most two connections are open");
    }

    @Test
    void idleConnectionsAreClosedAndBusyOnesAreNot() {
        dispatcher.targetListed("a", new Address("h", 1));
        sendAttempt(0, "r");
        FakeConnection connection = establish(1, lastConnectNumber());
        dispatcher.sendAttempt(2, "a", "long", 0, 10 * IDLE_TIMEOUT_MICROS, Attempt.newBuilder());
        reply(3, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        dispatcher.handleTimeouts(2 * IDLE_TIMEOUT_MICROS);
        assertTrue(connection.open);
        reply(2 * IDLE_TIMEOUT_MICROS + 1, connection, 1, milletyoke.wire.proto.Outcome.SUCCEEDED);
        dispatcher.handleTimeouts(5 * IDLE_TIMEOUT_MICROS);
        assertTrue(!connection.open);
    }

    @Test
    void probesReportQueueLengthOrOutcome() {
        dispatcher.targetListed("a", new Address("h", 1));
        dispatcher.sendProbe(0, "a");
        FakeConnection connection = establish(1, lastConnectNumber());
        dispatcher.probeReplied(
                5,
                5,
                connection,
                connection.sent.get(0).getProbe().getNumber(),
                Load.newBuilder().setQueueLength(7).build());
        dispatcher.sendProbe(10, "a");
        dispatcher.handleTimeouts(10 + PROBE_TIMEOUT_MICROS);
        dispatcher.sendProbe(20_000, "b");
        assertEquals(
                List.of("a SUCCEEDED 7.0", "a TIMED_OUT -1.0", "b NO_CONNECTION -1.0"),
                probeResults);
    }

    /**
     * For random sequences of calls each attempt ends exactly once, and no attempt that was sent is
     * reported as NO_CONNECTION.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyAttemptEndsExactlyOnce(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Integer> ordered = new HashMap<>();
        long now = 0;
        dispatcher.targetListed("a", new Address("h", 1));
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(200);
            randomCall(random, now, step, ordered);
            assertTrue(
                    connections.stream().filter(connection -> connection.open).count() <= 2,
                    "at most two connections are open");
        }
        dispatcher.handleTimeouts(now + 1_000_000);
        assertEquals(ordered.keySet(), outcomes.keySet());
        for (FakeConnection connection : connections) {
            for (Frame frame : connection.sent) {
                Outcome reported =
                        frame.hasAttempt() ? outcomes.get(frame.getAttempt().getRequestId()) : null;
                assertTrue(
                        reported != Outcome.NO_CONNECTION,
                        "an attempt that was sent ended as NO_CONNECTION");
            }
        }
    }

    /**
     * Makes one random call to the dispatcher; adds the id of a sent request to {@code ordered}.
     */
    private void randomCall(
            SplittableRandom random, long now, int step, Map<String, Integer> ordered) {
        FakeConnection connection =
                connections.isEmpty()
                        ? null
                        : connections.get(
                                connections.size()
                                        - 1
                                        - random.nextInt(Math.min(3, connections.size())));
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> {
                String id = "r" + step;
                ordered.put(id, step);
                dispatcher.sendAttempt(
                        now,
                        "a",
                        id,
                        0,
                        now + 1 + random.nextInt(4000),
                        Attempt.newBuilder().setRequestId(id));
            }
            case 3 -> {
                if (!pendingConnects.isEmpty()) {
                    establish(now, lastConnectNumber());
                }
            }
            case 4 -> {
                if (!pendingConnects.isEmpty()) {
                    long connectNumber = lastConnectNumber();
                    dispatcher.connectFailed(
                            now, pendingConnects.remove(connectNumber), connectNumber, "refused");
                }
            }
            case 5, 6 -> {
                if (connection != null && connection.open && !connection.sent.isEmpty()) {
                    Frame frame =
                            connection.sent.get(
                                    connection.sent.size()
                                            - 1
                                            - random.nextInt(Math.min(4, connection.sent.size())));
                    dispatcher.attemptReplied(
                            now,
                            now,
                            connection,
                            AttemptReply.newBuilder()
                                    .setNumber(frame.getAttempt().getNumber())
                                    .setOutcomeValue(1 + random.nextInt(8))
                                    .build());
                }
            }
            case 7 -> {
                if (connection != null && random.nextInt(4) == 0) {
                    connection.open = false;
                    dispatcher.connectionLost(now, "a", connection, false, 0);
                }
            }
            default -> dispatcher.handleTimeouts(now);
        }
    }

    // ---- Exclusive connections: one attempt at a time ----

    private final AttemptDispatcher exclusiveDispatcher =
            new AttemptDispatcher(
                    new Transport(
                            30 * CONNECT_TIMEOUT_MICROS,
                            IDLE_TIMEOUT_MICROS,
                            2,
                            1,
                            PROBE_TIMEOUT_MICROS,
                            1 << 20,
                            1 << 20,
                            1,
                            1),
                    this,
                    this,
                    new Counters(),
                    new WriteBatch());

    private FakeConnection establishExclusive(long now, long connectNumber) {
        FakeConnection connection =
                new FakeConnection(100 + connections.size(), pendingConnects.remove(connectNumber));
        connections.add(connection);
        exclusiveDispatcher.connectSucceeded(now, connection.target, connectNumber, connection);
        return connection;
    }

    private void sendExclusive(long now, String id, long deadlineMicros) {
        exclusiveDispatcher.sendAttempt(
                now, "a", id, 0, deadlineMicros, Attempt.newBuilder().setRequestId(id));
    }

    /** Establishes the maximum number of connections, with an attempt in flight on each. */
    private FakeConnection[] establishTwoBusy() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "x", 50_000);
        sendExclusive(0, "y", 50_000);
        List<Long> both = List.copyOf(pendingConnects.keySet());
        return new FakeConnection[] {
            establishExclusive(1, both.get(0)), establishExclusive(1, both.get(1))
        };
    }

    private void replyExclusive(long now, FakeConnection connection, int sent) {
        exclusiveDispatcher.attemptReplied(
                now,
                now,
                connection,
                AttemptReply.newBuilder()
                        .setNumber(connection.sent.get(sent).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
    }

    @Test
    void givenUpAttemptClosesExclusiveConnection() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "x", 500);
        FakeConnection connection = establishExclusive(1, lastConnectNumber());
        exclusiveDispatcher.handleTimeouts(500);
        assertEquals(Outcome.TIMED_OUT, outcomes.get("x"));
        assertEquals(false, connection.open);
        sendExclusive(600, "y", 50_000);
        FakeConnection other = establishExclusive(601, lastConnectNumber());
        exclusiveDispatcher.cancelAttempt(700, "y", 0);
        assertEquals(Outcome.CANCELLED, outcomes.get("y"));
        assertEquals(false, other.open);
        assertEquals(1, other.sent.size());
    }

    /**
     * At the maximum number of connections, an attempt waits for a free one, up to the connect
     * timeout.
     */
    /** Guards against a retry that is sent while the abandoned attempt's connection is open. */
    @Test
    void connectionOfAbandonedAttemptIsClosedBeforeTheOutcomeIsReported() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "cancelled", 50_000);
        establishExclusive(1, lastConnectNumber());
        exclusiveDispatcher.cancelAttempt(2, "cancelled", 0);
        sendExclusive(3, "timedOut", 50_000);
        establishExclusive(4, lastConnectNumber());
        exclusiveDispatcher.handleTimeouts(50_000);
        assertEquals(
                Map.of("cancelled", Outcome.CANCELLED, "timedOut", Outcome.TIMED_OUT), outcomes);
        assertEquals(List.of(), endedWithOpenConnection);
    }

    @Test
    void attemptWaitsForNextFreeExclusiveConnection() {
        FakeConnection[] both = establishTwoBusy();
        FakeConnection one = both[0];
        FakeConnection two = both[1];
        sendExclusive(10, "z", 90_000);
        sendExclusive(10, "late", 90_000);
        assertTrue(pendingConnects.isEmpty());
        replyExclusive(20, two, 0);
        assertEquals(1, two.sent.size(), "a duplicate of that reply may follow");
        exclusiveDispatcher.handleTimeouts(21);
        assertEquals(1, two.sent.size());
        assertEquals(20 + ConnectionPool.REUSE_DELAY_MICROS, exclusiveDispatcher.nextDueMicros());
        exclusiveDispatcher.handleTimeouts(20 + ConnectionPool.REUSE_DELAY_MICROS);
        assertEquals(2, two.sent.size());
        assertEquals("z", two.sent.get(1).getAttempt().getRequestId());
        exclusiveDispatcher.handleTimeouts(10 + 30 * CONNECT_TIMEOUT_MICROS);
        assertEquals(Outcome.NO_CONNECTION, outcomes.get("late"));
        assertEquals(1, one.sent.size());
    }

    /**
     * The least recently used connection is preferred, so that a surplus reply arrives before the
     * next attempt is sent there.
     */
    @Test
    void leastRecentlyUsedConnectionIsPreferred() {
        FakeConnection[] both = establishTwoBusy();
        FakeConnection one = both[0];
        FakeConnection two = both[1];
        replyExclusive(20, two, 0);
        replyExclusive(30, one, 0);
        sendExclusive(30 + ConnectionPool.REUSE_DELAY_MICROS, "z", 90_000);
        assertEquals(2, two.sent.size());
    }

    /** An attempt waits for a connection in its reuse delay instead of opening a new one. */
    @Test
    void reuseDelayOpensNoNewConnection() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "x", 50_000);
        FakeConnection connection = establishExclusive(1, lastConnectNumber());
        replyExclusive(20, connection, 0);
        sendExclusive(30, "y", 90_000);
        assertTrue(pendingConnects.isEmpty());
        sendExclusive(31, "z", 90_000);
        assertEquals(1, pendingConnects.size(), "the second attempt needs a connection of its own");
        exclusiveDispatcher.handleTimeouts(20 + ConnectionPool.REUSE_DELAY_MICROS);
        assertEquals("y", connection.sent.get(1).getAttempt().getRequestId());
    }

    /**
     * An attempt dropped while it waits for a connection is not sent once the connection is
     * established.
     */
    @Test
    void droppedWaitingAttemptIsNeverSent() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "x", 50_000);
        long connectNumber = lastConnectNumber();
        exclusiveDispatcher.dropUnsent(10, "x", 0);
        assertEquals(Outcome.NOT_STARTED, outcomes.get("x"));
        FakeConnection connection = establishExclusive(20, connectNumber);
        assertEquals(List.of(), connection.sent);
        sendExclusive(30, "y", 50_000);
        exclusiveDispatcher.dropUnsent(40, "y", 0);
        assertEquals(null, outcomes.get("y"), "an attempt that was sent continues");
    }

    @Test
    void waitingAttemptIsSentWithRemainingTime() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        exclusiveDispatcher.sendAttempt(
                0,
                "a",
                "x",
                0,
                5_000,
                Attempt.newBuilder().setRequestId("x").setTimeLeftMicros(50_000));
        assertEquals(
                4_300,
                establishExclusive(700, lastConnectNumber())
                        .sent
                        .get(0)
                        .getAttempt()
                        .getTimeLeftMicros());
    }

    @Test
    void onlyUnwrittenAttemptEndsAsNoConnection() {
        exclusiveDispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendExclusive(0, "x", 50_000);
        FakeConnection connection = establishExclusive(1, lastConnectNumber());
        exclusiveDispatcher.connectionLost(
                10, "a", connection, false, connection.sent.get(0).getAttempt().getNumber());
        assertEquals(Outcome.NO_CONNECTION, outcomes.get("x"));
        sendExclusive(20, "y", 50_000);
        FakeConnection other = establishExclusive(21, lastConnectNumber());
        exclusiveDispatcher.connectionLost(30, "a", other, false, 0);
        assertEquals(Outcome.RESET, outcomes.get("y"));
    }

    /**
     * The loop may handle a reply long after it was read; the latency must not include that delay.
     */
    @Test
    void latencyEndsWhenReplyWasRead() {
        List<Long> latencies = new ArrayList<>();
        AttemptDispatcher timed =
                new AttemptDispatcher(
                        new Transport(
                                CONNECT_TIMEOUT_MICROS,
                                IDLE_TIMEOUT_MICROS,
                                2,
                                1,
                                PROBE_TIMEOUT_MICROS,
                                1 << 20,
                                1 << 20,
                                1,
                                1),
                        this,
                        new AttemptListener() {
                            @Override
                            public void onAttemptEnded(
                                    String requestId,
                                    int attemptNumber,
                                    Outcome outcome,
                                    long latencyMicros,
                                    Load load,
                                    ByteString payload) {
                                latencies.add(latencyMicros);
                            }

                            @Override
                            public void onProbeEnded(
                                    String target,
                                    Outcome outcome,
                                    long latencyMicros,
                                    double queueLength) {}
                        },
                        new Counters(),
                        new WriteBatch());
        timed.targetListed("a", new Address("127.0.0.1", 1));
        timed.sendAttempt(0, "a", "x", 0, 50_000, Attempt.newBuilder().setRequestId("x"));
        FakeConnection connection = new FakeConnection(1, "a");
        timed.connectSucceeded(10, "a", lastConnectNumber(), connection);
        timed.attemptReplied(
                40_000,
                700,
                connection,
                AttemptReply.newBuilder()
                        .setNumber(connection.sent.get(0).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
        assertEquals(List.of(700L), latencies);
    }

    // ---- Attempts that end while they wait for a connection ----

    /**
     * An attempt is not sent on a connection that is established after its target drained or was
     * unlisted.
     */
    @Test
    void waitingAttemptOfDrainingOrUnlistedTargetIsNeverSent() {
        for (boolean isUnlisted : new boolean[] {false, true}) {
            outcomes.clear();
            dispatcher.targetListed("a", new Address("127.0.0.1", 1));
            sendAttempt(0, "x");
            if (isUnlisted) {
                dispatcher.targetUnlisted(1, "a");
            } else {
                dispatcher.targetDraining(1, "a");
            }
            assertEquals(Map.of("x", Outcome.NO_CONNECTION), outcomes);
            FakeConnection late = establish(2, lastConnectNumber());
            assertEquals(List.of(), late.sent);
            dispatcher.connectionLost(3, "a", late, false, 0);
        }
    }

    /**
     * An attempt is not sent on a connection that is established in the turn in which the attempt
     * times out, before timeouts are handled.
     */
    @Test
    void connectionAtTheDeadlineCarriesNothing() {
        dispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendAttempt(0, "x");
        FakeConnection late = establish(CONNECT_TIMEOUT_MICROS, lastConnectNumber());
        dispatcher.handleTimeouts(CONNECT_TIMEOUT_MICROS);
        assertEquals(List.of(), late.sent);
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), outcomes);
    }

    /** An attempt that timed out does not block the attempts queued behind it. */
    @Test
    void expiredWaitingAttemptDoesNotBlockOthers() {
        dispatcher.targetListed("a", new Address("127.0.0.1", 1));
        sendAttempt(0, "x");
        sendAttempt(500, "y");
        FakeConnection late =
                establish(CONNECT_TIMEOUT_MICROS, pendingConnects.keySet().iterator().next());
        dispatcher.handleTimeouts(CONNECT_TIMEOUT_MICROS);
        assertEquals(
                List.of("y"),
                late.sent.stream().map(frame -> frame.getAttempt().getRequestId()).toList());
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), outcomes);
    }
}
