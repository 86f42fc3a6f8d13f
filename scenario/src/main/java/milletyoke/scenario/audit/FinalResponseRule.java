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
 * Rule 1: a client receives exactly one response within its deadline, and the initiator sends no
 * attempt after the response. Checked on the records of clients and of initiators.
 */
final class FinalResponseRule extends RuleCheck {
    /**
     * A closed connection is explained by a kill of the initiator, or a reconnection of the
     * clients, at most this much earlier or later.
     */
    private static final long MAX_EXPLANATION_DISTANCE_MICROS = 2_000_000;

    /** Delay until the event loop processes a disconnect that its socket has recorded. */
    private static final long DISCONNECT_DELAY_MICROS = 100_000;

    private record SentRequest(Request request, int frame, long atMicros, String initiator) {}

    private record Stall(long fromMicros, long toMicros, String observer) {}

    /**
     * A request without a response in time.
     *
     * @param endMicros the deadline, or when the connection closed if that was earlier
     */
    private record MissedResponse(SentRequest sent, long endMicros, int frame, String problem) {}

    private final Map<Integer, Map<Long, SentRequest>> openRequests = new HashMap<>();
    private final Map<Integer, Map<Long, Integer>> finishedRequests = new HashMap<>();
    private final List<Stall> stalls = new ArrayList<>();
    private final Map<String, List<Long>> kills = new LinkedHashMap<>();
    private final List<Long> reconnects = new ArrayList<>();
    private final List<MissedResponse> overdueRequests = new ArrayList<>();
    private final List<MissedResponse> interruptedRequests = new ArrayList<>();
    private long smallestMargin = Long.MAX_VALUE;

    FinalResponseRule() {
        super(1, "one final response per request, in time; no attempt after it");
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (request.responses > 0) {
            recordViolation(
                    "an attempt of request "
                            + request.id
                            + " was sent by "
                            + request.incarnation.initiator
                            + " after its final response",
                    request.responseFrame,
                    attempt.frame);
        } else if (attempt.atMicros - DISCONNECT_DELAY_MICROS > request.cancelledAtMicros) {
            recordViolation(
                    "an attempt of request "
                            + request.id
                            + " was sent by "
                            + request.incarnation.initiator
                            + " though its client had disconnected or cancelled",
                    request.frame,
                    attempt.frame);
        }
    }

    @Override
    void onResponse(ObservedRequest request, Response response, long atMicros, int frame) {
        if (request.responses > 1) {
            recordViolation(
                    request.incarnation.initiator
                            + " responded to request "
                            + request.id
                            + " twice",
                    request.responseFrame,
                    frame);
        }
        boolean succeeded =
                request.attempts.stream().anyMatch(attempt -> attempt.outcome == Outcome.SUCCEEDED);
        if (response.getStatus() == ResponseStatus.ANSWERED && !succeeded) {
            recordViolation(
                    request.incarnation.initiator
                            + " reported success of request "
                            + request.id
                            + " without a successful attempt",
                    frame);
        }
    }

    @Override
    void onIncarnationEnded(Incarnation incarnation, boolean isKilled) {
        if (!isKilled) {
            incarnation.requests.values().stream()
                    .filter(request -> !request.isFinished())
                    .forEach(
                            request ->
                                    recordViolation(
                                            incarnation.initiator
                                                    + " ended without a response to request "
                                                    + request.id,
                                            request.frame));
        }
    }

    @Override
    void onOtherRecord(Record record, int frame) {
        if (!record.getObserver().equals("client")) {
            return;
        }
        Frame content = record.getFrame();
        Map<Long, SentRequest> open =
                openRequests.computeIfAbsent(
                        record.getConnection(), connection -> new LinkedHashMap<>());
        if (record.getDirection() == Direction.SENT && content.hasRequest()) {
            tested++;
            open.put(
                    content.getRequest().getNumber(),
                    new SentRequest(
                            content.getRequest(), frame, record.getAtMicros(), record.getPeer()));
        } else if (record.getDirection() == Direction.SENT && content.hasCancelRequest()) {
            open.remove(content.getCancelRequest().getNumber());
            markFinished(record.getConnection(), content.getCancelRequest().getNumber(), -1);
        } else if (record.getDirection() == Direction.GOT && content.hasResponse()) {
            onClientResponse(record, open, content.getResponse(), frame);
        } else if (record.getDirection() == Direction.CLOSED) {
            for (SentRequest sent : open.values()) {
                if (record.getAtMicros()
                        > deadline(sent)) { // the deadline passed before the connection closed
                    overdueRequests.add(
                            new MissedResponse(
                                    sent,
                                    deadline(sent),
                                    sent.frame(),
                                    "no response was received"));
                } else {
                    interruptedRequests.add(
                            new MissedResponse(
                                    sent, record.getAtMicros(), frame, "its connection closed"));
                }
            }
            open.clear();
        }
    }

    private void markFinished(int connection, long number, int frame) {
        finishedRequests.computeIfAbsent(connection, id -> new HashMap<>()).put(number, frame);
    }

    private void onClientResponse(
            Record record, Map<Long, SentRequest> open, Response response, int frame) {
        SentRequest sent = open.remove(response.getNumber());
        if (sent != null) {
            markFinished(record.getConnection(), response.getNumber(), frame);
            long deadline = deadline(sent);
            smallestMargin = Math.min(smallestMargin, deadline - record.getAtMicros());
            if (record.getAtMicros() > deadline) {
                overdueRequests.add(
                        new MissedResponse(
                                sent,
                                deadline,
                                frame,
                                "its response came "
                                        + millis(record.getAtMicros() - deadline)
                                        + " late"));
            }
            return;
        }
        Integer previousFrame =
                finishedRequests
                        .getOrDefault(record.getConnection(), Map.of())
                        .get(response.getNumber());
        if (previousFrame == null) {
            recordViolation(
                    "a response to request number "
                            + response.getNumber()
                            + ", which this client did not send",
                    frame);
        } else if (previousFrame >= 0) {
            recordViolation(
                    "a second response to request number " + response.getNumber(),
                    previousFrame,
                    frame);
        }
    }

    private long deadline(SentRequest sent) {
        return sent.atMicros()
                + sent.request().getTimeLeftMicros()
                + settings.responseSlackMicros();
    }

    @Override
    void onNote(String observer, Note note, long atMicros, int frame) {
        switch (note.getKind()) {
            case STALLED ->
                    stalls.add(new Stall(atMicros - (long) note.getFigure(), atMicros, observer));
            case KILLED ->
                    kills.computeIfAbsent(observer, initiator -> new ArrayList<>()).add(atMicros);
            case OTHER -> {
                if (note.getText().equals("clients reconnect")) {
                    reconnects.add(atMicros);
                }
            }
            default -> {}
        }
    }

    @Override
    void finish(long end) {
        openRequests
                .values()
                .forEach(
                        open ->
                                open.values()
                                        .forEach(
                                                sent ->
                                                        overdueRequests.add(
                                                                new MissedResponse(
                                                                        sent,
                                                                        deadline(sent),
                                                                        sent.frame(),
                                                                        "no response was received"))));
        for (MissedResponse missed : overdueRequests) {
            // A late response is excused if the initiator or the whole machine was stalled
            // meanwhile.
            boolean isStalled =
                    stalls.stream()
                            .anyMatch(
                                    stall ->
                                            stall.fromMicros() <= missed.endMicros()
                                                    && stall.toMicros() >= missed.sent().atMicros()
                                                    && (stall.observer().equals("machine")
                                                            || stall.observer()
                                                                    .equals(
                                                                            missed.sent()
                                                                                    .initiator())));
            recordUnlessExcused(missed, isStalled);
        }
        for (MissedResponse missed : interruptedRequests) {
            boolean isKilled =
                    kills.getOrDefault(missed.sent().initiator(), List.of()).stream()
                            .anyMatch(
                                    killedAtMicros ->
                                            Math.abs(killedAtMicros - missed.endMicros())
                                                    < MAX_EXPLANATION_DISTANCE_MICROS);
            recordUnlessExcused(
                    missed,
                    isKilled
                            || reconnects.stream()
                                    .anyMatch(
                                            reconnectedAtMicros ->
                                                    Math.abs(
                                                                    reconnectedAtMicros
                                                                            - missed.endMicros())
                                                            < MAX_EXPLANATION_DISTANCE_MICROS));
        }
    }

    private void recordUnlessExcused(MissedResponse missed, boolean isExcused) {
        if (isExcused) {
            excused++;
        } else {
            recordViolation(
                    "request number "
                            + missed.sent().request().getNumber()
                            + " to "
                            + missed.sent().initiator()
                            + ": "
                            + missed.problem(),
                    missed.sent().frame(),
                    missed.frame());
        }
    }

    @Override
    String closestCall() {
        return smallestMargin == Long.MAX_VALUE
                ? "-"
                : "the smallest margin to a deadline was " + millis(smallestMargin);
    }
}
