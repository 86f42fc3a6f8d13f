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
 * Each relay gets the one outcome that is true of it, whatever the connections do; no sockets and
 * no clock.
 */
class AttemptDispatcherTest implements AttemptListener, Connector {
    private static final long CONNECT = 1000, IDLE = 100_000, PROBE = 5000;

    private final Map<String, Outcome> ended = new LinkedHashMap<>();
    private final List<String> probes = new ArrayList<>();
    private final Map<Long, String> pendingConnects = new LinkedHashMap<>();
    private final List<FakeConnection> connections = new ArrayList<>();
    private final AttemptDispatcher dispatcher =
            new AttemptDispatcher(
                    new Transport(CONNECT, IDLE, 2, 3, PROBE, 1 << 20, 1 << 20, 1, 1),
                    this,
                    this,
                    new Counters(),
                    new WriteBatch());

    /** A connection that keeps what was sent on it. */
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
        public void closeWithReason(String why) {
            open = false;
        }

        @Override
        public void close(String why) {
            open = false;
        }
    }

    @Override
    public PendingConnect connect(String target, Address address, long dial) {
        pendingConnects.put(dial, target);
        return () -> {};
    }

    @Override
    public void onAttemptEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload) {
        Outcome before = ended.put(id, outcome);
        assertEquals(null, before, id + " ended twice");
    }

    @Override
    public void onProbeEnded(String target, Outcome outcome, long lag, double waiting) {
        probes.add(target + " " + outcome + " " + waiting);
    }

    private FakeConnection establish(long now, long dial) {
        FakeConnection connection =
                new FakeConnection(connections.size(), pendingConnects.remove(dial));
        connections.add(connection);
        dispatcher.connectSucceeded(now, connection.target, dial, connection);
        return connection;
    }

    private long lastDial() {
        return pendingConnects.keySet().stream().reduce((a, b) -> b).orElseThrow();
    }

    private void relay(long now, String id) {
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
    void toATargetThatWasNeverListedNothingCanBeSent() {
        relay(0, "r");
        assertEquals(Map.of("r", Outcome.NO_CONNECTION), ended);
    }

    @Test
    void whatWaitsForAConnectionIsSentOnceThereIsOne() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "r");
        FakeConnection connection = establish(10, lastDial());
        reply(20, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("r", Outcome.SUCCEEDED), ended);
    }

    @Test
    void connectTimeOutIsNoConnectionAndALateConnectionIsClosed() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "r");
        long dial = lastDial();
        dispatcher.handleTimeouts(CONNECT - 1);
        assertEquals(Map.of(), ended);
        dispatcher.handleTimeouts(CONNECT);
        assertEquals(Map.of("r", Outcome.NO_CONNECTION), ended);
        dispatcher.handleTimeouts(CONNECT * 300);
        assertTrue(!establish(CONNECT * 300, dial).open, "it came too late");
    }

    @Test
    void timeUpBeforeItCouldBeSentIsMootAndAfterwardsTimedOut() {
        dispatcher.targetListed("a", new Address("h", 1));
        dispatcher.sendAttempt(0, "a", "moot", 0, 500, Attempt.newBuilder());
        dispatcher.handleTimeouts(500);
        relay(600, "late");
        FakeConnection connection = establish(700, lastDial());
        dispatcher.handleTimeouts(10_600);
        reply(10_700, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("moot", Outcome.NOT_STARTED, "late", Outcome.TIMED_OUT), ended);
    }

    @Test
    void cancelIsMootBeforeSendingAndCancelledAfter() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "unsent");
        dispatcher.cancelAttempt(1, "unsent", 0);
        relay(2, "sent");
        FakeConnection connection = establish(10, lastDial());
        dispatcher.cancelAttempt(20, "sent", 0);
        assertEquals(Map.of("unsent", Outcome.NOT_STARTED, "sent", Outcome.CANCELLED), ended);
        assertTrue(connection.sent.get(1).hasCancelAttempt());
        assertEquals(
                1,
                connection.sent.stream().filter(Frame::hasAttempt).count(),
                "what was cancelled is never sent");
    }

    @Test
    void closedConnectionResetsWhatWasSentAndOnlyThat() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "sent");
        FakeConnection connection = establish(10, lastDial());
        connection.refuses = true; // known to be closed, though nobody was told yet
        relay(11, "unsent");
        dispatcher.connectionLost(20, "a", connection, false, 0);
        assertEquals(Map.of("sent", Outcome.RESET), ended);
        establish(30, lastDial());
        assertEquals("unsent", connections.get(1).sent.get(0).getAttempt().getRequestId());
    }

    /**
     * A target over its bound of connections refuses one as it comes: what was handed to it never
     * ran.
     */
    @Test
    void refusedConnectionNeverRanWhatWasSentUnlessItHadAnswered() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "never ran");
        FakeConnection connection = establish(10, lastDial());
        dispatcher.connectionLost(20, "a", connection, true, 0);
        assertEquals(Map.of("never ran", Outcome.NO_CONNECTION), ended);
        ended.clear();
        relay(30, "answered");
        relay(31, "unsure");
        FakeConnection other = establish(40, lastDial());
        dispatcher.attemptReplied(
                50,
                50,
                other,
                AttemptReply.newBuilder()
                        .setNumber(other.sent.get(0).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
        dispatcher.connectionLost(60, "a", other, true, 0);
        assertEquals(Map.of("answered", Outcome.SUCCEEDED, "unsure", Outcome.RESET), ended);
    }

    @Test
    void connectionsAndStreamsAreBounded() {
        dispatcher.targetListed("a", new Address("h", 1));
        for (int i = 0; i < 3; i++) {
            relay(0, "r" + i);
        }
        FakeConnection first = establish(1, 1);
        FakeConnection second = establish(1, 2);
        for (int i = 3; i < 8; i++) {
            relay(2, "r" + i);
        }
        assertEquals(3, first.sent.size());
        assertEquals(3, second.sent.size());
        assertEquals(Map.of("r6", Outcome.NO_CONNECTION, "r7", Outcome.NO_CONNECTION), ended);
        assertEquals(0, pendingConnects.size(), "two connections are the most");
    }

    @Test
    void idleConnectionsAreClosedAndBusyOnesAreNot() {
        dispatcher.targetListed("a", new Address("h", 1));
        relay(0, "r");
        FakeConnection connection = establish(1, lastDial());
        dispatcher.sendAttempt(2, "a", "long", 0, 10 * IDLE, Attempt.newBuilder());
        reply(3, connection, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        dispatcher.handleTimeouts(2 * IDLE);
        assertTrue(connection.open);
        reply(2 * IDLE + 1, connection, 1, milletyoke.wire.proto.Outcome.SUCCEEDED);
        dispatcher.handleTimeouts(5 * IDLE);
        assertTrue(!connection.open);
    }

    @Test
    void probesEndWithWhatTheyFound() {
        dispatcher.targetListed("a", new Address("h", 1));
        dispatcher.sendProbe(0, "a");
        FakeConnection connection = establish(1, lastDial());
        dispatcher.probeReplied(
                5,
                5,
                connection,
                connection.sent.get(0).getProbe().getNumber(),
                Load.newBuilder().setQueueLength(7).build());
        dispatcher.sendProbe(10, "a");
        dispatcher.handleTimeouts(10 + PROBE);
        dispatcher.sendProbe(20_000, "b");
        assertEquals(
                List.of("a SUCCEEDED 7.0", "a TIMED_OUT -1.0", "b NO_CONNECTION -1.0"), probes);
    }

    /**
     * Random orders of everything: each relay ends once, and what was never on a line is never told
     * to have been.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void everyRelayEndsOnce(int seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Map<String, Integer> ordered = new HashMap<>();
        long now = 0;
        dispatcher.targetListed("a", new Address("h", 1));
        for (int step = 0; step < 20_000; step++) {
            now += chance.nextInt(200);
            FakeConnection connection =
                    connections.isEmpty()
                            ? null
                            : connections.get(
                                    connections.size()
                                            - 1
                                            - chance.nextInt(Math.min(3, connections.size())));
            switch (chance.nextInt(9)) {
                case 0, 1, 2 -> {
                    String id = "r" + step;
                    ordered.put(id, step);
                    dispatcher.sendAttempt(
                            now,
                            "a",
                            id,
                            0,
                            now + 1 + chance.nextInt(4000),
                            Attempt.newBuilder().setRequestId(id));
                }
                case 3 -> {
                    if (!pendingConnects.isEmpty()) {
                        establish(now, lastDial());
                    }
                }
                case 4 -> {
                    if (!pendingConnects.isEmpty()) {
                        long dial = lastDial();
                        dispatcher.connectFailed(
                                now, pendingConnects.remove(dial), dial, "refused");
                    }
                }
                case 5, 6 -> {
                    if (connection != null && connection.open && !connection.sent.isEmpty()) {
                        Frame frame =
                                connection.sent.get(
                                        connection.sent.size()
                                                - 1
                                                - chance.nextInt(
                                                        Math.min(4, connection.sent.size())));
                        dispatcher.attemptReplied(
                                now,
                                now,
                                connection,
                                AttemptReply.newBuilder()
                                        .setNumber(frame.getAttempt().getNumber())
                                        .setOutcomeValue(1 + chance.nextInt(8))
                                        .build());
                    }
                }
                case 7 -> {
                    if (connection != null && chance.nextInt(4) == 0) {
                        connection.open = false;
                        dispatcher.connectionLost(now, "a", connection, false, 0);
                    }
                }
                default -> dispatcher.handleTimeouts(now);
            }
            assertTrue(
                    connections.stream().filter(l -> l.open).count() <= 2,
                    "two connections are the most");
        }
        dispatcher.handleTimeouts(now + 1_000_000);
        assertEquals(ordered.keySet(), ended.keySet());
        for (FakeConnection connection : connections) {
            for (Frame frame : connection.sent) {
                Outcome told =
                        frame.hasAttempt() ? ended.get(frame.getAttempt().getRequestId()) : null;
                assertTrue(told != Outcome.NO_CONNECTION, "it was on a line");
            }
        }
    }

    // ---- One relay at a time on a connection ----

    private final AttemptDispatcher single =
            new AttemptDispatcher(
                    new Transport(30 * CONNECT, IDLE, 2, 1, PROBE, 1 << 20, 1 << 20, 1, 1),
                    this,
                    this,
                    new Counters(),
                    new WriteBatch());

    private FakeConnection upSingle(long now, long dial) {
        FakeConnection connection =
                new FakeConnection(100 + connections.size(), pendingConnects.remove(dial));
        connections.add(connection);
        single.connectSucceeded(now, connection.target, dial, connection);
        return connection;
    }

    private void relaySingle(long now, String id, long giveUpAt) {
        single.sendAttempt(now, "a", id, 0, giveUpAt, Attempt.newBuilder().setRequestId(id));
    }

    /** As many connections as there may be, a relay on each. */
    private FakeConnection[] twoBusy() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        relaySingle(0, "y", 50_000);
        List<Long> both = List.copyOf(pendingConnects.keySet());
        return new FakeConnection[] {upSingle(1, both.get(0)), upSingle(1, both.get(1))};
    }

    private void replySingle(long now, FakeConnection connection, int sent) {
        single.attemptReplied(
                now,
                now,
                connection,
                AttemptReply.newBuilder()
                        .setNumber(connection.sent.get(sent).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
    }

    @Test
    void aRelayGivenUpEndsItsConnection() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 500);
        FakeConnection connection = upSingle(1, lastDial());
        single.handleTimeouts(500);
        assertEquals(Outcome.TIMED_OUT, ended.get("x"));
        assertEquals(false, connection.open);
        relaySingle(600, "y", 50_000);
        FakeConnection other = upSingle(601, lastDial());
        single.cancelAttempt(700, "y", 0);
        assertEquals(Outcome.CANCELLED, ended.get("y"));
        assertEquals(false, other.open);
        assertEquals(1, other.sent.size());
    }

    /**
     * With as many connections as there may be, a relay waits for one to come free, and no longer
     * than for a new one.
     */
    @Test
    void whatFindsNoConnectionFreeTakesTheNextOne() {
        FakeConnection[] both = twoBusy();
        FakeConnection one = both[0], two = both[1];
        relaySingle(10, "z", 90_000);
        relaySingle(10, "late", 90_000);
        assertTrue(pendingConnects.isEmpty());
        replySingle(20, two, 0);
        assertEquals(1, two.sent.size(), "a second copy of that reply may be right behind it");
        single.handleTimeouts(21);
        assertEquals(1, two.sent.size());
        assertEquals(20 + AttemptDispatcher.REUSE_DELAY_MICROS, single.nextDueMicros());
        single.handleTimeouts(20 + AttemptDispatcher.REUSE_DELAY_MICROS);
        assertEquals(2, two.sent.size());
        assertEquals("z", two.sent.get(1).getAttempt().getRequestId());
        single.handleTimeouts(10 + 30 * CONNECT);
        assertEquals(Outcome.NO_CONNECTION, ended.get("late"));
        assertEquals(1, one.sent.size());
    }

    /**
     * The one that rested longest goes first: what a target sends beyond its answer shows there
     * before the next is asked.
     */
    @Test
    void theConnectionThatRestedLongestGoesFirst() {
        FakeConnection[] both = twoBusy();
        FakeConnection one = both[0], two = both[1];
        replySingle(20, two, 0);
        replySingle(30, one, 0);
        relaySingle(30 + AttemptDispatcher.REUSE_DELAY_MICROS, "z", 90_000);
        assertEquals(2, two.sent.size());
    }

    /** What comes while the only connection rests waits for it, and no new one is made. */
    @Test
    void aRestIsNoReasonForANewConnection() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        FakeConnection connection = upSingle(1, lastDial());
        replySingle(20, connection, 0);
        relaySingle(30, "y", 90_000);
        assertTrue(pendingConnects.isEmpty());
        relaySingle(31, "z", 90_000);
        assertEquals(1, pendingConnects.size(), "the second finds none that rests for it");
        single.handleTimeouts(20 + AttemptDispatcher.REUSE_DELAY_MICROS);
        assertEquals("y", connection.sent.get(1).getAttempt().getRequestId());
    }

    /**
     * The client of one that waits for a connection has left: it never ran, and is not sent when
     * one comes.
     */
    @Test
    void whatWaitsWhenItsAccessEndsIsNeverSent() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        long dial = lastDial();
        single.dropUnsent(10, "x", 0);
        assertEquals(Outcome.NOT_STARTED, ended.get("x"));
        FakeConnection connection = upSingle(20, dial);
        assertEquals(List.of(), connection.sent);
        relaySingle(30, "y", 50_000);
        single.dropUnsent(40, "y", 0);
        assertEquals(null, ended.get("y"), "what was sent goes on");
    }

    @Test
    void whatWaitedTellsWhatIsLeftOfItsTime() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        single.sendAttempt(
                0,
                "a",
                "x",
                0,
                5_000,
                Attempt.newBuilder().setRequestId("x").setTimeLeftMicros(50_000));
        assertEquals(4_300, upSingle(700, lastDial()).sent.get(0).getAttempt().getTimeLeftMicros());
    }

    @Test
    void onlyWhatNeverLeftIsNoConnection() {
        single.targetListed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        FakeConnection connection = upSingle(1, lastDial());
        single.connectionLost(
                10, "a", connection, false, connection.sent.get(0).getAttempt().getNumber());
        assertEquals(Outcome.NO_CONNECTION, ended.get("x"));
        relaySingle(20, "y", 50_000);
        FakeConnection other = upSingle(21, lastDial());
        single.connectionLost(30, "a", other, false, 0);
        assertEquals(Outcome.RESET, ended.get("y"));
    }

    /**
     * The loop may get to a reply long after it was read: the lag is the target's, not the loop's.
     */
    @Test
    void theLagIsUpToWhenTheReplyWasRead() {
        List<Long> lags = new ArrayList<>();
        AttemptDispatcher timed =
                new AttemptDispatcher(
                        new Transport(CONNECT, IDLE, 2, 1, PROBE, 1 << 20, 1 << 20, 1, 1),
                        this,
                        new AttemptListener() {
                            @Override
                            public void onAttemptEnded(
                                    String id,
                                    int attempt,
                                    Outcome outcome,
                                    long lag,
                                    Load load,
                                    ByteString payload) {
                                lags.add(lag);
                            }

                            @Override
                            public void onProbeEnded(
                                    String target, Outcome outcome, long lag, double waiting) {}
                        },
                        new Counters(),
                        new WriteBatch());
        timed.targetListed("a", new Address("127.0.0.1", 1));
        timed.sendAttempt(0, "a", "x", 0, 50_000, Attempt.newBuilder().setRequestId("x"));
        FakeConnection connection = new FakeConnection(1, "a");
        timed.connectSucceeded(10, "a", lastDial(), connection);
        timed.attemptReplied(
                40_000,
                700,
                connection,
                AttemptReply.newBuilder()
                        .setNumber(connection.sent.get(0).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
        assertEquals(List.of(700L), lags);
    }

    // ---- What ends while a relay waits for its connection ----

    /**
     * The connection comes up after its target was told to drain, or gone: nothing is sent, and
     * nothing ran.
     */
    @Test
    void whatWaitsForATargetThatDrainsOrGoesNeverRuns() {
        for (boolean gone : new boolean[] {false, true}) {
            ended.clear();
            dispatcher.targetListed("a", new Address("127.0.0.1", 1));
            relay(0, "x");
            if (gone) {
                dispatcher.targetUnlisted(1, "a");
            } else {
                dispatcher.targetDraining(1, "a");
            }
            assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
            FakeConnection late = establish(2, lastDial());
            assertEquals(List.of(), late.sent);
            dispatcher.connectionLost(3, "a", late, false, 0);
        }
    }

    /**
     * The connection comes up in the very turn in which its relay's time is over, before the clock
     * was looked at.
     */
    @Test
    void aConnectionThatComesWithTheEndOfItsRelayCarriesNothing() {
        dispatcher.targetListed("a", new Address("127.0.0.1", 1));
        relay(0, "x");
        FakeConnection late = establish(CONNECT, lastDial());
        dispatcher.handleTimeouts(CONNECT);
        assertEquals(List.of(), late.sent);
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
    }

    /** One whose time is over does not keep those behind it from the connection that came. */
    @Test
    void whoseTimeIsOverDoesNotHoldUpTheOthers() {
        dispatcher.targetListed("a", new Address("127.0.0.1", 1));
        relay(0, "x");
        relay(500, "y");
        FakeConnection late = establish(CONNECT, pendingConnects.keySet().iterator().next());
        dispatcher.handleTimeouts(CONNECT);
        assertEquals(
                List.of("y"), late.sent.stream().map(f -> f.getAttempt().getRequestId()).toList());
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
    }
}
