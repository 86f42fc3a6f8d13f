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
    private final Map<Long, String> dials = new LinkedHashMap<>();
    private final List<Fake> lines = new ArrayList<>();
    private final AttemptDispatcher links =
            new AttemptDispatcher(
                    new Transport(CONNECT, IDLE, 2, 3, PROBE, 1 << 20, 1 << 20, 1, 1),
                    this,
                    this,
                    new Counters(),
                    new WriteBatch());

    /** A connection that keeps what was sent on it. */
    private static final class Fake implements Connection {
        final int id;
        final String target;
        final List<Frame> sent = new ArrayList<>();
        boolean open = true;
        boolean refuses;

        Fake(int id, String target) {
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
        dials.put(dial, target);
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

    private Fake up(long now, long dial) {
        Fake line = new Fake(lines.size(), dials.remove(dial));
        lines.add(line);
        links.dialled(now, line.target, dial, line);
        return line;
    }

    private long lastDial() {
        return dials.keySet().stream().reduce((a, b) -> b).orElseThrow();
    }

    private void relay(long now, String id) {
        links.relay(now, "a", id, 0, now + 10_000, Attempt.newBuilder().setRequestId(id));
    }

    private void reply(long now, Fake line, int sent, milletyoke.wire.proto.Outcome outcome) {
        links.replied(
                now,
                now,
                line,
                AttemptReply.newBuilder()
                        .setNumber(line.sent.get(sent).getAttempt().getNumber())
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
        links.listed("a", new Address("h", 1));
        relay(0, "r");
        Fake line = up(10, lastDial());
        reply(20, line, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("r", Outcome.SUCCEEDED), ended);
    }

    @Test
    void connectTimeOutIsNoConnectionAndALateConnectionIsClosed() {
        links.listed("a", new Address("h", 1));
        relay(0, "r");
        long dial = lastDial();
        links.look(CONNECT - 1);
        assertEquals(Map.of(), ended);
        links.look(CONNECT);
        assertEquals(Map.of("r", Outcome.NO_CONNECTION), ended);
        links.look(CONNECT * 300);
        assertTrue(!up(CONNECT * 300, dial).open, "it came too late");
    }

    @Test
    void timeUpBeforeItCouldBeSentIsMootAndAfterwardsTimedOut() {
        links.listed("a", new Address("h", 1));
        links.relay(0, "a", "moot", 0, 500, Attempt.newBuilder());
        links.look(500);
        relay(600, "late");
        Fake line = up(700, lastDial());
        links.look(10_600);
        reply(10_700, line, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        assertEquals(Map.of("moot", Outcome.NOT_STARTED, "late", Outcome.TIMED_OUT), ended);
    }

    @Test
    void cancelIsMootBeforeSendingAndCancelledAfter() {
        links.listed("a", new Address("h", 1));
        relay(0, "unsent");
        links.cancel(1, "unsent", 0);
        relay(2, "sent");
        Fake line = up(10, lastDial());
        links.cancel(20, "sent", 0);
        assertEquals(Map.of("unsent", Outcome.NOT_STARTED, "sent", Outcome.CANCELLED), ended);
        assertTrue(line.sent.get(1).hasCancelAttempt());
        assertEquals(
                1,
                line.sent.stream().filter(Frame::hasAttempt).count(),
                "what was cancelled is never sent");
    }

    @Test
    void closedConnectionResetsWhatWasSentAndOnlyThat() {
        links.listed("a", new Address("h", 1));
        relay(0, "sent");
        Fake line = up(10, lastDial());
        line.refuses = true; // known to be closed, though nobody was told yet
        relay(11, "unsent");
        links.lost(20, "a", line, false, 0);
        assertEquals(Map.of("sent", Outcome.RESET), ended);
        up(30, lastDial());
        assertEquals("unsent", lines.get(1).sent.get(0).getAttempt().getRequestId());
    }

    /**
     * A target over its bound of connections refuses one as it comes: what was handed to it never
     * ran.
     */
    @Test
    void refusedConnectionNeverRanWhatWasSentUnlessItHadAnswered() {
        links.listed("a", new Address("h", 1));
        relay(0, "never ran");
        Fake line = up(10, lastDial());
        links.lost(20, "a", line, true, 0);
        assertEquals(Map.of("never ran", Outcome.NO_CONNECTION), ended);
        ended.clear();
        relay(30, "answered");
        relay(31, "unsure");
        Fake other = up(40, lastDial());
        links.replied(
                50,
                50,
                other,
                AttemptReply.newBuilder()
                        .setNumber(other.sent.get(0).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
        links.lost(60, "a", other, true, 0);
        assertEquals(Map.of("answered", Outcome.SUCCEEDED, "unsure", Outcome.RESET), ended);
    }

    @Test
    void connectionsAndStreamsAreBounded() {
        links.listed("a", new Address("h", 1));
        for (int i = 0; i < 3; i++) {
            relay(0, "r" + i);
        }
        Fake first = up(1, 1);
        Fake second = up(1, 2);
        for (int i = 3; i < 8; i++) {
            relay(2, "r" + i);
        }
        assertEquals(3, first.sent.size());
        assertEquals(3, second.sent.size());
        assertEquals(Map.of("r6", Outcome.NO_CONNECTION, "r7", Outcome.NO_CONNECTION), ended);
        assertEquals(0, dials.size(), "two connections are the most");
    }

    @Test
    void idleConnectionsAreClosedAndBusyOnesAreNot() {
        links.listed("a", new Address("h", 1));
        relay(0, "r");
        Fake line = up(1, lastDial());
        links.relay(2, "a", "long", 0, 10 * IDLE, Attempt.newBuilder());
        reply(3, line, 0, milletyoke.wire.proto.Outcome.SUCCEEDED);
        links.look(2 * IDLE);
        assertTrue(line.open);
        reply(2 * IDLE + 1, line, 1, milletyoke.wire.proto.Outcome.SUCCEEDED);
        links.look(5 * IDLE);
        assertTrue(!line.open);
    }

    @Test
    void probesEndWithWhatTheyFound() {
        links.listed("a", new Address("h", 1));
        links.probe(0, "a");
        Fake line = up(1, lastDial());
        links.probeReplied(
                5,
                5,
                line,
                line.sent.get(0).getProbe().getNumber(),
                Load.newBuilder().setQueueLength(7).build());
        links.probe(10, "a");
        links.look(10 + PROBE);
        links.probe(20_000, "b");
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
        links.listed("a", new Address("h", 1));
        for (int step = 0; step < 20_000; step++) {
            now += chance.nextInt(200);
            Fake line =
                    lines.isEmpty()
                            ? null
                            : lines.get(
                                    lines.size() - 1 - chance.nextInt(Math.min(3, lines.size())));
            switch (chance.nextInt(9)) {
                case 0, 1, 2 -> {
                    String id = "r" + step;
                    ordered.put(id, step);
                    links.relay(
                            now,
                            "a",
                            id,
                            0,
                            now + 1 + chance.nextInt(4000),
                            Attempt.newBuilder().setRequestId(id));
                }
                case 3 -> {
                    if (!dials.isEmpty()) {
                        up(now, lastDial());
                    }
                }
                case 4 -> {
                    if (!dials.isEmpty()) {
                        long dial = lastDial();
                        links.dialFailed(now, dials.remove(dial), dial, "refused");
                    }
                }
                case 5, 6 -> {
                    if (line != null && line.open && !line.sent.isEmpty()) {
                        Frame frame =
                                line.sent.get(
                                        line.sent.size()
                                                - 1
                                                - chance.nextInt(Math.min(4, line.sent.size())));
                        links.replied(
                                now,
                                now,
                                line,
                                AttemptReply.newBuilder()
                                        .setNumber(frame.getAttempt().getNumber())
                                        .setOutcomeValue(1 + chance.nextInt(8))
                                        .build());
                    }
                }
                case 7 -> {
                    if (line != null && chance.nextInt(4) == 0) {
                        line.open = false;
                        links.lost(now, "a", line, false, 0);
                    }
                }
                default -> links.look(now);
            }
            assertTrue(
                    lines.stream().filter(l -> l.open).count() <= 2,
                    "two connections are the most");
        }
        links.look(now + 1_000_000);
        assertEquals(ordered.keySet(), ended.keySet());
        for (Fake line : lines) {
            for (Frame frame : line.sent) {
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

    private Fake upSingle(long now, long dial) {
        Fake line = new Fake(100 + lines.size(), dials.remove(dial));
        lines.add(line);
        single.dialled(now, line.target, dial, line);
        return line;
    }

    private void relaySingle(long now, String id, long giveUpAt) {
        single.relay(now, "a", id, 0, giveUpAt, Attempt.newBuilder().setRequestId(id));
    }

    /** As many connections as there may be, a relay on each. */
    private Fake[] twoBusy() {
        single.listed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        relaySingle(0, "y", 50_000);
        List<Long> both = List.copyOf(dials.keySet());
        return new Fake[] {upSingle(1, both.get(0)), upSingle(1, both.get(1))};
    }

    private void replySingle(long now, Fake line, int sent) {
        single.replied(
                now,
                now,
                line,
                AttemptReply.newBuilder()
                        .setNumber(line.sent.get(sent).getAttempt().getNumber())
                        .setOutcome(milletyoke.wire.proto.Outcome.SUCCEEDED)
                        .build());
    }

    @Test
    void aRelayGivenUpEndsItsConnection() {
        single.listed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 500);
        Fake line = upSingle(1, lastDial());
        single.look(500);
        assertEquals(Outcome.TIMED_OUT, ended.get("x"));
        assertEquals(false, line.open);
        relaySingle(600, "y", 50_000);
        Fake other = upSingle(601, lastDial());
        single.cancel(700, "y", 0);
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
        Fake[] both = twoBusy();
        Fake one = both[0], two = both[1];
        relaySingle(10, "z", 90_000);
        relaySingle(10, "late", 90_000);
        assertTrue(dials.isEmpty());
        replySingle(20, two, 0);
        assertEquals(1, two.sent.size(), "a second copy of that reply may be right behind it");
        single.look(21);
        assertEquals(1, two.sent.size());
        assertEquals(20 + AttemptDispatcher.REST, single.nextDue());
        single.look(20 + AttemptDispatcher.REST);
        assertEquals(2, two.sent.size());
        assertEquals("z", two.sent.get(1).getAttempt().getRequestId());
        single.look(10 + 30 * CONNECT);
        assertEquals(Outcome.NO_CONNECTION, ended.get("late"));
        assertEquals(1, one.sent.size());
    }

    /**
     * The one that rested longest goes first: what a target sends beyond its answer shows there
     * before the next is asked.
     */
    @Test
    void theConnectionThatRestedLongestGoesFirst() {
        Fake[] both = twoBusy();
        Fake one = both[0], two = both[1];
        replySingle(20, two, 0);
        replySingle(30, one, 0);
        relaySingle(30 + AttemptDispatcher.REST, "z", 90_000);
        assertEquals(2, two.sent.size());
    }

    /** What comes while the only connection rests waits for it, and no new one is made. */
    @Test
    void aRestIsNoReasonForANewConnection() {
        single.listed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        Fake line = upSingle(1, lastDial());
        replySingle(20, line, 0);
        relaySingle(30, "y", 90_000);
        assertTrue(dials.isEmpty());
        relaySingle(31, "z", 90_000);
        assertEquals(1, dials.size(), "the second finds none that rests for it");
        single.look(20 + AttemptDispatcher.REST);
        assertEquals("y", line.sent.get(1).getAttempt().getRequestId());
    }

    /**
     * The client of one that waits for a connection has left: it never ran, and is not sent when
     * one comes.
     */
    @Test
    void whatWaitsWhenItsAccessEndsIsNeverSent() {
        single.listed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        long dial = lastDial();
        single.dropUnsent(10, "x", 0);
        assertEquals(Outcome.NOT_STARTED, ended.get("x"));
        Fake line = upSingle(20, dial);
        assertEquals(List.of(), line.sent);
        relaySingle(30, "y", 50_000);
        single.dropUnsent(40, "y", 0);
        assertEquals(null, ended.get("y"), "what was sent goes on");
    }

    @Test
    void whatWaitedTellsWhatIsLeftOfItsTime() {
        single.listed("a", new Address("127.0.0.1", 1));
        single.relay(
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
        single.listed("a", new Address("127.0.0.1", 1));
        relaySingle(0, "x", 50_000);
        Fake line = upSingle(1, lastDial());
        single.lost(10, "a", line, false, line.sent.get(0).getAttempt().getNumber());
        assertEquals(Outcome.NO_CONNECTION, ended.get("x"));
        relaySingle(20, "y", 50_000);
        Fake other = upSingle(21, lastDial());
        single.lost(30, "a", other, false, 0);
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
        timed.listed("a", new Address("127.0.0.1", 1));
        timed.relay(0, "a", "x", 0, 50_000, Attempt.newBuilder().setRequestId("x"));
        Fake line = new Fake(1, "a");
        timed.dialled(10, "a", lastDial(), line);
        timed.replied(
                40_000,
                700,
                line,
                AttemptReply.newBuilder()
                        .setNumber(line.sent.get(0).getAttempt().getNumber())
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
            links.listed("a", new Address("127.0.0.1", 1));
            relay(0, "x");
            if (gone) {
                links.unlisted(1, "a");
            } else {
                links.takesNothingNew(1, "a");
            }
            assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
            Fake late = up(2, lastDial());
            assertEquals(List.of(), late.sent);
            links.lost(3, "a", late, false, 0);
        }
    }

    /**
     * The connection comes up in the very turn in which its relay's time is over, before the clock
     * was looked at.
     */
    @Test
    void aConnectionThatComesWithTheEndOfItsRelayCarriesNothing() {
        links.listed("a", new Address("127.0.0.1", 1));
        relay(0, "x");
        Fake late = up(CONNECT, lastDial());
        links.look(CONNECT);
        assertEquals(List.of(), late.sent);
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
    }

    /** One whose time is over does not keep those behind it from the connection that came. */
    @Test
    void whoseTimeIsOverDoesNotHoldUpTheOthers() {
        links.listed("a", new Address("127.0.0.1", 1));
        relay(0, "x");
        relay(500, "y");
        Fake late = up(CONNECT, dials.keySet().iterator().next());
        links.look(CONNECT);
        assertEquals(
                List.of("y"), late.sent.stream().map(f -> f.getAttempt().getRequestId()).toList());
        assertEquals(Map.of("x", Outcome.NO_CONNECTION), ended);
    }
}
