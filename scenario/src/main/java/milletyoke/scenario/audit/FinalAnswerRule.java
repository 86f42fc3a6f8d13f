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
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (request.answers > 0) {
            recordViolation(
                    "a relay of "
                            + request.id
                            + " left "
                            + request.incarnation.initiator
                            + " after its final answer",
                    request.answerFrame,
                    attempt.frame);
        } else if (attempt.at - LEAVE_TRAVELS > request.cancelledAt) {
            recordViolation(
                    "a relay of "
                            + request.id
                            + " left "
                            + request.incarnation.initiator
                            + " though its client was gone",
                    request.frame,
                    attempt.frame);
        }
    }

    @Override
    void onResponse(ObservedRequest request, Response answer, long at, int frame) {
        if (request.answers > 1) {
            recordViolation(
                    request.incarnation.initiator + " answered " + request.id + " twice",
                    request.answerFrame,
                    frame);
        }
        boolean succeeded =
                request.attempts.stream().anyMatch(attempt -> attempt.outcome == Outcome.SUCCEEDED);
        if (answer.getStatus() == ResponseStatus.ANSWERED && !succeeded) {
            recordViolation(
                    request.incarnation.initiator
                            + " said that "
                            + request.id
                            + " succeeded, which no target had told",
                    frame);
        }
    }

    @Override
    void onIncarnationEnded(Incarnation incarnation, boolean killed) {
        if (!killed) {
            incarnation.requests.values().stream()
                    .filter(s -> !s.isOver())
                    .forEach(
                            s ->
                                    recordViolation(
                                            incarnation.initiator
                                                    + " ended and owed an answer for "
                                                    + s.id,
                                            s.frame));
        }
    }

    @Override
    void onOtherRecord(Record record, int frame) {
        if (!record.getObserver().equals("client")) {
            return;
        }
        Frame f = record.getFrame();
        Map<Long, Asked> own =
                open.computeIfAbsent(record.getConnection(), c -> new LinkedHashMap<>());
        if (record.getDirection() == Direction.SENT && f.hasRequest()) {
            tested++;
            own.put(
                    f.getRequest().getNumber(),
                    new Asked(f.getRequest(), frame, record.getAtMicros(), record.getPeer()));
        } else if (record.getDirection() == Direction.SENT && f.hasCancelRequest()) {
            own.remove(f.getCancelRequest().getNumber());
            seal(record.getConnection(), f.getCancelRequest().getNumber(), -1);
        } else if (record.getDirection() == Direction.GOT && f.hasResponse()) {
            got(record, own, f.getResponse(), frame);
        } else if (record.getDirection() == Direction.CLOSED) {
            for (Asked a : own.values()) {
                if (record.getAtMicros()
                        > until(a)) { // its time was up before: the closing explains nothing
                    late.add(new Late(a, until(a), a.frame(), "it never had an answer"));
                } else {
                    cut.add(new Late(a, record.getAtMicros(), frame, "its connection closed"));
                }
            }
            own.clear();
        }
    }

    private void seal(int connection, long number, int frame) {
        closedNumbers.computeIfAbsent(connection, c -> new HashMap<>()).put(number, frame);
    }

    private void got(Record record, Map<Long, Asked> own, Response answer, int frame) {
        Asked asked = own.remove(answer.getNumber());
        if (asked != null) {
            seal(record.getConnection(), answer.getNumber(), frame);
            long until = until(asked);
            least = Math.min(least, until - record.getAtMicros());
            if (record.getAtMicros() > until) {
                late.add(
                        new Late(
                                asked,
                                until,
                                frame,
                                "its answer came "
                                        + millis(record.getAtMicros() - until)
                                        + " late"));
            }
            return;
        }
        Integer before =
                closedNumbers
                        .getOrDefault(record.getConnection(), Map.of())
                        .get(answer.getNumber());
        if (before == null) {
            recordViolation(
                    "an answer for number "
                            + answer.getNumber()
                            + ", which this client did not ask",
                    frame);
        } else if (before >= 0) {
            recordViolation("a second answer for number " + answer.getNumber(), before, frame);
        }
    }

    private long until(Asked asked) {
        return asked.at() + asked.access().getTimeLeftMicros() + settings.responseSlackMicros();
    }

    @Override
    void onNote(String witness, Note note, long at, int frame) {
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
            recordViolation(
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
    String closestCall() {
        return least == Long.MAX_VALUE ? "-" : "the least time to spare was " + millis(least);
    }
}
