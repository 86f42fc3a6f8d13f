package milletyoke.scenario.audit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;

/** Rule 2: nothing has its effect twice, and no two relays of one access are out together. */
final class SingleExecutionRule extends RuleCheck {
    private record Execution(String where, int frame) {}

    private final Map<String, Execution> executions = new HashMap<>();
    private double windowUsed;
    private long unsure;

    SingleExecutionRule() {
        super(2, "no effect twice: repeats only as the category allows, one relay out at a time");
    }

    private RuleSettings.RequestClassRules category(ObservedRequest request) {
        RuleSettings.RequestClassRules known =
                settings.requestClasses().get(request.request.getRequestClass());
        if (known == null && request.attempts.isEmpty()) {
            return new RuleSettings.RequestClassRules(
                    "harmless", "all", 0, false); // never taken: it named no category of ours
        }
        if (known == null) {
            throw new IllegalArgumentException(
                    "a relay of category "
                            + request.request.getRequestClass()
                            + ", of which the recording's rules know nothing");
        }
        return known;
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        int k = request.attempts.size() - 1;
        if (attempt.attempt.getAttemptNumber() >= settings.maxAttempts()) {
            recordViolation(
                    "relay "
                            + attempt.attempt.getAttemptNumber()
                            + " of "
                            + request.id
                            + ", "
                            + settings.maxAttempts()
                            + " are the most",
                    attempt.frame);
        }
        for (ObservedRequest.ObservedAttempt before : request.attempts.subList(0, k)) {
            if (!before.hasEnded(attempt.at)) {
                recordViolation(
                        "two relays of " + request.id + " out together",
                        before.frame,
                        attempt.frame);
            }
        }
        if (!request.isPossiblyExecuted(k, attempt.at)) {
            return;
        }
        RuleSettings.RequestClassRules category = category(request);
        ObservedRequest.ObservedAttempt first =
                request.attempts.stream()
                        .filter(earlier -> earlier.isPossiblyExecuted(attempt.at))
                        .findFirst()
                        .orElseThrow();
        if (category.idempotency().equals("one_shot")) {
            recordViolation(
                    "one-shot " + request.id + " relayed again though it may have run",
                    first.frame,
                    attempt.frame);
        } else if (category.idempotency().equals("stamped")) {
            windowUsed =
                    Math.max(
                            windowUsed,
                            (attempt.at - first.at)
                                    / (double) category.deduplicationWindowMicros());
            if (attempt.at > first.at + category.deduplicationWindowMicros()) {
                recordViolation(
                        "stamped "
                                + request.id
                                + " relayed again "
                                + millis(attempt.at - first.at)
                                + " after it may have run first",
                        first.frame,
                        attempt.frame);
            }
            if (!sameGroup(request.incarnation, category, first.target, attempt.target)) {
                recordViolation(
                        "stamped "
                                + request.id
                                + " relayed to "
                                + attempt.target
                                + ", which does not share the marks of "
                                + first.target,
                        first.frame,
                        attempt.frame);
            }
        }
    }

    private static boolean sameGroup(
            Incarnation incarnation,
            RuleSettings.RequestClassRules category,
            String one,
            String other) {
        Incarnation.ObservedEndpoint a = incarnation.endpoints.get(one),
                b = incarnation.endpoints.get(other);
        if (category.deduplicationScope().equals("all") || one.equals(other)) {
            return true;
        }
        if (a == null || b == null) {
            return false;
        }
        return category.deduplicationScope().equals("zone")
                ? a.entry.getZone().equals(b.entry.getZone())
                : a.entry.getShard() == b.entry.getShard();
    }

    @Override
    void onResponse(ObservedRequest request, Response answer, long at, int frame) {
        for (ObservedRequest.ObservedAttempt attempt :
                category(request).isIdempotent()
                        ? List.<ObservedRequest.ObservedAttempt>of()
                        : request.attempts) {
            tested += attempt.outcome == Outcome.SUCCEEDED ? 0 : 1;
            unsure +=
                    attempt.outcome != Outcome.SUCCEEDED && attempt.isPossiblyExecuted(at) ? 1 : 0;
        }
        if (answer.getStatus() != ResponseStatus.REJECTED
                || !request.isPossiblyExecuted(request.attempts.size(), at)) {
            return;
        }
        RuleSettings.RequestClassRules category = category(request);
        boolean repeatsDropped =
                category.idempotency().equals("stamped")
                        && category.deduplicationScope().equals("all");
        if (!category.isIdempotent() && !repeatsDropped) {
            recordViolation(
                    request.id
                            + " of "
                            + category.idempotency()
                            + " rejected though it may have run",
                    frame);
        }
    }

    /** The targets' own word: each run of an access, by its mark. */
    @Override
    void onNote(String witness, Note note, long at, int frame) {
        if (note.getKind() != Note.Kind.EXECUTED) {
            return;
        }
        int blank = note.getText().lastIndexOf(' ');
        RuleSettings.RequestClassRules category =
                settings.requestClasses().get(note.getText().substring(blank + 1));
        if (category != null && category.idempotency().equals("one_shot")) {
            Execution before =
                    executions.put(
                            note.getText().substring(0, blank), new Execution(witness, frame));
            if (before != null) {
                recordViolation(
                        "one-shot "
                                + note.getText()
                                + " ran at "
                                + before.where()
                                + " and at "
                                + witness,
                        before.frame(),
                        frame);
            }
        }
    }

    @Override
    String closestCall() {
        return unsure
                + " relays that must not run twice ended unsure"
                + (windowUsed > 0
                        ? String.format(
                                ", at most %.0f%% of a mark's window was used", 100 * windowUsed)
                        : "");
    }
}
