package milletyoke.scenario.audit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;

/** Rule 2: no request takes effect twice, and a request has at most one attempt in flight. */
final class SingleExecutionRule extends RuleCheck {
    private record Execution(String target, int frame) {}

    private final Map<String, Execution> executions = new HashMap<>();
    private double highestWindowUse;
    private long uncertainAttempts;

    SingleExecutionRule() {
        super(
                2,
                "no duplicate execution: retries only as the request class allows, one attempt at a time");
    }

    private RuleSettings.RequestClassRules requestClassRules(ObservedRequest request) {
        RuleSettings.RequestClassRules rules =
                settings.requestClasses().get(request.request.getRequestClass());
        if (rules == null && request.attempts.isEmpty()) {
            return new RuleSettings.RequestClassRules(
                    "harmless",
                    "all",
                    0,
                    false); // never sent: its request class is unknown to the initiator
        }
        if (rules == null) {
            throw new IllegalArgumentException(
                    "an attempt of request class "
                            + request.request.getRequestClass()
                            + ", which the rule settings of the recording lack");
        }
        return rules;
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        int earlierAttempts = request.attempts.size() - 1;
        if (attempt.attempt.getAttemptNumber() >= settings.maxAttempts()) {
            recordViolation(
                    "attempt "
                            + attempt.attempt.getAttemptNumber()
                            + " of request "
                            + request.id
                            + ", at most "
                            + settings.maxAttempts()
                            + " attempts are allowed",
                    attempt.frame);
        }
        for (ObservedRequest.ObservedAttempt earlier :
                request.attempts.subList(0, earlierAttempts)) {
            if (!earlier.hasEnded(attempt.atMicros)) {
                recordViolation(
                        "request " + request.id + " has two attempts in flight",
                        earlier.frame,
                        attempt.frame);
            }
        }
        if (!request.isPossiblyExecuted(earlierAttempts, attempt.atMicros)) {
            return;
        }
        RuleSettings.RequestClassRules rules = requestClassRules(request);
        ObservedRequest.ObservedAttempt first =
                request.attempts.stream()
                        .filter(earlier -> earlier.isPossiblyExecuted(attempt.atMicros))
                        .findFirst()
                        .orElseThrow();
        if (rules.idempotency().equals("one_shot")) {
            recordViolation(
                    "one-shot request " + request.id + " retried though it may have been executed",
                    first.frame,
                    attempt.frame);
        } else if (rules.idempotency().equals("stamped")) {
            highestWindowUse =
                    Math.max(
                            highestWindowUse,
                            (attempt.atMicros - first.atMicros)
                                    / (double) rules.deduplicationWindowMicros());
            if (attempt.atMicros > first.atMicros + rules.deduplicationWindowMicros()) {
                recordViolation(
                        "stamped request "
                                + request.id
                                + " retried "
                                + millis(attempt.atMicros - first.atMicros)
                                + " after its first possible execution",
                        first.frame,
                        attempt.frame);
            }
            if (!shareDeduplication(request.incarnation, rules, first.target, attempt.target)) {
                recordViolation(
                        "stamped request "
                                + request.id
                                + " retried at "
                                + attempt.target
                                + ", which does not share deduplication with "
                                + first.target,
                        first.frame,
                        attempt.frame);
            }
        }
    }

    private static boolean shareDeduplication(
            Incarnation incarnation,
            RuleSettings.RequestClassRules rules,
            String one,
            String other) {
        Incarnation.ObservedEndpoint oneEndpoint = incarnation.endpoints.get(one);
        Incarnation.ObservedEndpoint otherEndpoint = incarnation.endpoints.get(other);
        if (rules.deduplicationScope().equals("all") || one.equals(other)) {
            return true;
        }
        if (oneEndpoint == null || otherEndpoint == null) {
            return false;
        }
        return rules.deduplicationScope().equals("zone")
                ? oneEndpoint.entry.getZone().equals(otherEndpoint.entry.getZone())
                : oneEndpoint.entry.getShard() == otherEndpoint.entry.getShard();
    }

    @Override
    void onResponse(ObservedRequest request, Response response, long atMicros, int frame) {
        for (ObservedRequest.ObservedAttempt attempt :
                requestClassRules(request).isIdempotent()
                        ? List.<ObservedRequest.ObservedAttempt>of()
                        : request.attempts) {
            tested += attempt.outcome == Outcome.SUCCEEDED ? 0 : 1;
            uncertainAttempts +=
                    attempt.outcome != Outcome.SUCCEEDED && attempt.isPossiblyExecuted(atMicros)
                            ? 1
                            : 0;
        }
        if (response.getStatus() != ResponseStatus.REJECTED
                || !request.isPossiblyExecuted(request.attempts.size(), atMicros)) {
            return;
        }
        RuleSettings.RequestClassRules rules = requestClassRules(request);
        boolean isDeduplicated =
                rules.idempotency().equals("stamped") && rules.deduplicationScope().equals("all");
        if (!rules.isIdempotent() && !isDeduplicated) {
            recordViolation(
                    request.id
                            + ": "
                            + rules.idempotency()
                            + " request rejected though it may have been executed",
                    frame);
        }
    }

    /** Checks the executions that the targets recorded, by idempotency key. */
    @Override
    void onNote(String observer, Note note, long atMicros, int frame) {
        if (note.getKind() != Note.Kind.EXECUTED) {
            return;
        }
        int separator = note.getText().lastIndexOf(' ');
        RuleSettings.RequestClassRules rules =
                settings.requestClasses().get(note.getText().substring(separator + 1));
        if (rules != null && rules.idempotency().equals("one_shot")) {
            Execution earlier =
                    executions.put(
                            note.getText().substring(0, separator), new Execution(observer, frame));
            if (earlier != null) {
                recordViolation(
                        "one-shot request "
                                + note.getText()
                                + " executed at "
                                + earlier.target()
                                + " and at "
                                + observer,
                        earlier.frame(),
                        frame);
            }
        }
    }

    @Override
    String closestCall() {
        return uncertainAttempts
                + " attempts of non-idempotent requests ended without a known result"
                + (highestWindowUse > 0
                        ? String.format(
                                ", at most %.0f%% of a deduplication window was used",
                                100 * highestWindowUse)
                        : "");
    }
}
