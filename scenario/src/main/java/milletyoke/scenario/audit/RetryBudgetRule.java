package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/** Rule 6: relays beyond each access's first stay within the budget of any span. */
final class RetryBudgetRule extends RuleCheck {
    /** Sockets and loop tell the same moment a little apart (microseconds). */
    private static final long APART = 20_000;

    private double highest;

    RetryBudgetRule() {
        super(6, "relay budget kept");
    }

    @Override
    void onRequest(ObservedRequest request) {
        request.incarnation.taken.addLast(request.at);
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (settings.retryBudgetWindowMicros() == 0 || attempt.attempt.getAttemptNumber() == 0) {
            return;
        }
        tested++;
        request.incarnation.further.addLast(attempt.at);
        long further =
                within(
                        request.incarnation.further,
                        attempt.at - settings.retryBudgetWindowMicros() + APART);
        long taken =
                within(
                        request.incarnation.taken,
                        attempt.at - settings.retryBudgetWindowMicros() - APART);
        double may = settings.retryBudgetMinimum() + settings.retryBudgetFraction() * taken;
        highest = Math.max(highest, further / may);
        if (further > may) {
            recordViolation(
                    String.format(
                            "%s made %d further relays in one span, %.1f are allowed",
                            request.incarnation.initiator, further, may),
                    attempt.frame);
        }
    }

    private static long within(ArrayDeque<Long> times, long since) {
        while (!times.isEmpty() && times.peekFirst() <= since) {
            times.removeFirst();
        }
        return times.size();
    }

    @Override
    String closestCall() {
        return settings.retryBudgetWindowMicros() == 0
                ? "no budget is stated"
                : String.format("at most %.0f%% of the budget was used", 100 * highest);
    }
}
