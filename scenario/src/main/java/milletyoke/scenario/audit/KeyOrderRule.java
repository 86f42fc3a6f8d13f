package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/**
 * Rule 5: requests of one key run one at a time, in the order of arrival, with a quiet period after
 * an attempt that may still be running.
 */
final class KeyOrderRule extends RuleCheck {
    private long smallestMargin = Long.MAX_VALUE;

    KeyOrderRule() {
        super(5, "key order, with a quiet period after time-out, reset and cancellation");
    }

    @Override
    void onRequest(ObservedRequest request) {
        if (applies(request)) {
            request.incarnation
                    .requestsByKey
                    .computeIfAbsent(request.request.getExtent(), key -> new ArrayDeque<>())
                    .addLast(request);
        }
    }

    private boolean applies(ObservedRequest request) {
        RuleSettings.RequestClassRules rules =
                settings.requestClasses().get(request.request.getRequestClass());
        return rules != null && rules.isKeyOrdered() && !request.request.getExtent().isEmpty();
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (!applies(request)) {
            return;
        }
        ArrayDeque<ObservedRequest> queue =
                request.incarnation.requestsByKey.get(request.request.getExtent());
        String key = request.request.getExtent();
        // The queue may be empty: an attempt that is sent long after its request ended violates
        // rule 1.
        while (!queue.isEmpty()
                && queue.peekFirst() != request
                && hasEnded(queue.peekFirst(), attempt.atMicros)) {
            recordPossiblyRunning(queue.removeFirst(), key, attempt.atMicros);
        }
        for (ObservedRequest earlier : queue) {
            if (earlier == request) {
                break;
            }
            recordPossiblyRunning(earlier, key, attempt.atMicros);
            if (!hasEnded(earlier, attempt.atMicros)) {
                recordViolation(
                        request.id
                                + " was sent before "
                                + earlier.id
                                + " of the same key had ended",
                        earlier.frame,
                        attempt.frame);
            }
        }
        tested += queue.size() > 1 ? 1 : 0;
        Long possiblyRunningSince = request.incarnation.possiblyRunningByKey.get(key);
        if (possiblyRunningSince != null && request.attempts.size() == 1) {
            long margin = attempt.atMicros - (possiblyRunningSince + settings.keyQuietMicros());
            tested++;
            smallestMargin = Math.min(smallestMargin, margin);
            if (margin < 0) {
                recordViolation(
                        request.id
                                + " was sent "
                                + millis(-margin)
                                + " before the quiet period of its key ended",
                        attempt.frame);
            }
        }
    }

    private static boolean hasEnded(ObservedRequest request, long nowMicros) {
        return request.isFinished()
                && request.attempts.stream().allMatch(attempt -> attempt.hasEnded(nowMicros));
    }

    private static void recordPossiblyRunning(ObservedRequest request, String key, long nowMicros) {
        for (ObservedRequest.ObservedAttempt attempt : request.attempts) {
            long sinceMicros = attempt.possiblyRunningSince(nowMicros);
            if (sinceMicros >= 0) {
                request.incarnation.possiblyRunningByKey.merge(key, sinceMicros, Math::max);
            }
        }
    }

    @Override
    String closestCall() {
        return smallestMargin == Long.MAX_VALUE
                ? "no key needed a quiet period"
                : "after a quiet period, the next attempt was sent "
                        + millis(smallestMargin)
                        + " later than allowed";
    }
}
