package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Record;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;

/**
 * Rule 1, at both ends: the client has one answer in its time, and the initiator sends nothing
 * after it.
 */
final class FinalAnswerRule extends RuleCheck {
    /**
     * How near in time a kill, or the clients' own closing, must stand to the end of a connection
     * to explain it.
     */
    private static final long NEAR = 2_000_000;

    /** A loop learns a little after its sockets that a client left (microseconds). */
    private static final long LEAVE_TRAVELS = 100_000;

    private record Asked(Request access, int frame, long at, String initiator) {}

    private record Span(long from, long to, String whose) {}

    private record Late(Asked asked, long until, int frame, String what) {}

    private final Map<Integer, Map<Long, Asked>> open = new HashMap<>();
    private final Map<Integer, Map<Long, Integer>> closedNumbers = new HashMap<>();
    private final List<Span> still = new ArrayList<>();
    private final Map<String, List<Long>> kills = new LinkedHashMap<>();
    private final List<Long> reconnects = new ArrayList<>();
    private final List<Late> late = new ArrayList<>();
    private final List<Late> cut = new ArrayList<>();
    private long least = Long.MAX_VALUE;

    FinalAnswerRule() {
        super(1, "no access lost: one final answer in time, nothing after it");
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        if (seen.answers > 0) {
            breach(
                    "a relay of "
                            + seen.id
                            + " left "
                            + seen.life.initiator
                            + " after its final answer",
                    seen.answerFrame,
                    sent.frame);
        } else if (sent.at - LEAVE_TRAVELS > seen.leftAt) {
            breach(
                    "a relay of "
                            + seen.id
                            + " left "
                            + seen.life.initiator
                            + " though its client was gone",
                    seen.frame,
                    sent.frame);
        }
    }

    @Override
    void answered(ObservedAttempts seen, Response answer, long at, int frame) {
        if (seen.answers > 1) {
            breach(
                    seen.life.initiator + " answered " + seen.id + " twice",
                    seen.answerFrame,
                    frame);
        }
        boolean succeeded = seen.relays.stream().anyMatch(s -> s.outcome == Outcome.SUCCEEDED);
        if (answer.getStatus() == ResponseStatus.ANSWERED && !succeeded) {
            breach(
                    seen.life.initiator
                            + " said that "
                            + seen.id
                            + " succeeded, which no target had told",
                    frame);
        }
    }

    @Override
    void lifeEnded(Incarnation life, boolean killed) {
        if (!killed) {
            life.accesses.values().stream()
                    .filter(s -> !s.isOver())
                    .forEach(
                            s ->
                                    breach(
                                            life.initiator
                                                    + " ended and owed an answer for "
                                                    + s.id,
                                            s.frame));
        }
    }

    @Override
    void elsewhere(Record r, int frame) {
        if (!r.getObserver().equals("client")) {
            return;
        }
        Frame f = r.getFrame();
        Map<Long, Asked> own = open.computeIfAbsent(r.getConnection(), c -> new LinkedHashMap<>());
        if (r.getDirection() == Direction.SENT && f.hasRequest()) {
            tested++;
            own.put(
                    f.getRequest().getNumber(),
                    new Asked(f.getRequest(), frame, r.getAtMicros(), r.getPeer()));
        } else if (r.getDirection() == Direction.SENT && f.hasCancelRequest()) {
            own.remove(f.getCancelRequest().getNumber());
            seal(r.getConnection(), f.getCancelRequest().getNumber(), -1);
        } else if (r.getDirection() == Direction.GOT && f.hasResponse()) {
            got(r, own, f.getResponse(), frame);
        } else if (r.getDirection() == Direction.CLOSED) {
            for (Asked a : own.values()) {
                if (r.getAtMicros()
                        > until(a)) { // its time was up before: the closing explains nothing
                    late.add(new Late(a, until(a), a.frame(), "it never had an answer"));
                } else {
                    cut.add(new Late(a, r.getAtMicros(), frame, "its connection closed"));
                }
            }
            own.clear();
        }
    }

    private void seal(int connection, long number, int frame) {
        closedNumbers.computeIfAbsent(connection, c -> new HashMap<>()).put(number, frame);
    }

    private void got(Record r, Map<Long, Asked> own, Response answer, int frame) {
        Asked asked = own.remove(answer.getNumber());
        if (asked != null) {
            seal(r.getConnection(), answer.getNumber(), frame);
            long until = until(asked);
            least = Math.min(least, until - r.getAtMicros());
            if (r.getAtMicros() > until) {
                late.add(
                        new Late(
                                asked,
                                until,
                                frame,
                                "its answer came " + millis(r.getAtMicros() - until) + " late"));
            }
            return;
        }
        Integer before =
                closedNumbers.getOrDefault(r.getConnection(), Map.of()).get(answer.getNumber());
        if (before == null) {
            breach(
                    "an answer for number "
                            + answer.getNumber()
                            + ", which this client did not ask",
                    frame);
        } else if (before >= 0) {
            breach("a second answer for number " + answer.getNumber(), before, frame);
        }
    }

    private long until(Asked asked) {
        return asked.at() + asked.access().getTimeLeftMicros() + book.answerSlack();
    }

    @Override
    void noted(String witness, Note note, long at, int frame) {
        switch (note.getKind()) {
            case STALLED -> still.add(new Span(at - (long) note.getFigure(), at, witness));
            case KILLED -> kills.computeIfAbsent(witness, w -> new ArrayList<>()).add(at);
            case OTHER -> {
                if (note.getText().equals("clients reconnect")) {
                    reconnects.add(at);
                }
            }
            default -> {}
        }
    }

    @Override
    void finish(long end) {
        open.values()
                .forEach(
                        own ->
                                own.values()
                                        .forEach(
                                                a ->
                                                        late.add(
                                                                new Late(
                                                                        a,
                                                                        until(a),
                                                                        a.frame(),
                                                                        "it never had an answer"))));
        for (Late l : late) {
            // An initiator, or the machine, that stands still cannot answer; that is the exception
            // of the brief.
            boolean stood =
                    still.stream()
                            .anyMatch(
                                    s ->
                                            s.from() <= l.until()
                                                    && s.to() >= l.asked().at()
                                                    && (s.whose().equals("machine")
                                                            || s.whose()
                                                                    .equals(
                                                                            l.asked()
                                                                                    .initiator())));
            judge(l, stood);
        }
        for (Late l : cut) {
            boolean killed =
                    kills.getOrDefault(l.asked().initiator(), List.of()).stream()
                            .anyMatch(k -> Math.abs(k - l.until()) < NEAR);
            judge(l, killed || reconnects.stream().anyMatch(k -> Math.abs(k - l.until()) < NEAR));
        }
    }

    private void judge(Late l, boolean excuse) {
        if (excuse) {
            excused++;
        } else {
            breach(
                    "access "
                            + l.asked().access().getNumber()
                            + " to "
                            + l.asked().initiator()
                            + ": "
                            + l.what(),
                    l.asked().frame(),
                    l.frame());
        }
    }

    @Override
    String nearest() {
        return least == Long.MAX_VALUE ? "-" : "the least time to spare was " + millis(least);
    }
}
