package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/**
 * Rule 5: accesses of one key run one at a time, in the order taken, with a rest after what may
 * still run.
 */
final class KeyOrderRule extends RuleCheck {
    private long least = Long.MAX_VALUE;

    KeyOrderRule() {
        super(5, "order per key, with rest after time-out, reset and cancel");
    }

    @Override
    void onRequest(ObservedRequest request) {
        if (applies(request)) {
            request.incarnation
                    .keys
                    .computeIfAbsent(request.request.getExtent(), k -> new ArrayDeque<>())
                    .addLast(request);
        }
    }

    private boolean applies(ObservedRequest request) {
        RuleSettings.RequestClassRules c =
                settings.requestClasses().get(request.request.getRequestClass());
        return c != null && c.isKeyOrdered() && !request.request.getExtent().isEmpty();
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (!applies(request)) {
            return;
        }
        ArrayDeque<ObservedRequest> turn =
                request.incarnation.keys.get(request.request.getExtent());
        String key = request.request.getExtent();
        // Guards against one that is sent though its turn is long over and nobody of its key is
        // left: rule 1 names that.
        while (!turn.isEmpty()
                && turn.peekFirst() != request
                && isDone(turn.peekFirst(), attempt.at)) {
            rest(turn.removeFirst(), key, attempt.at);
        }
        for (ObservedRequest before : turn) {
            if (before == request) {
                break;
            }
            rest(before, key, attempt.at);
            if (!isDone(before, attempt.at)) {
                recordViolation(
                        request.id + " was sent before " + before.id + " of the same key was over",
                        before.frame,
                        attempt.frame);
            }
        }
        tested += turn.size() > 1 ? 1 : 0;
        Long unsure = request.incarnation.keyUnsure.get(key);
        if (unsure != null && request.attempts.size() == 1) {
            long spare = attempt.at - (unsure + settings.keyQuietMicros());
            tested++;
            least = Math.min(least, spare);
            if (spare < 0) {
                recordViolation(
                        request.id + " was sent " + millis(-spare) + " before its key had rested",
                        attempt.frame);
            }
        }
    }

    private static boolean isDone(ObservedRequest request, long now) {
        return request.isOver()
                && request.attempts.stream().allMatch(attempt -> attempt.hasEnded(now));
    }

    private static void rest(ObservedRequest request, String key, long now) {
        for (ObservedRequest.ObservedAttempt attempt : request.attempts) {
            long since = attempt.unsureSince(now);
            if (since >= 0) {
                request.incarnation.keyUnsure.merge(key, since, Math::max);
            }
        }
    }

    @Override
    String closestCall() {
        return least == Long.MAX_VALUE
                ? "no key had to rest"
                : "after a rest, the next left " + millis(least) + " later than it might";
    }
}
