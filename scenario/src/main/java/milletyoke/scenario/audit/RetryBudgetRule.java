package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/** Rule 6: the retries of an initiator within any budget window stay within the retry budget. */
final class RetryBudgetRule extends RuleCheck {
    /**
     * Tolerance for the delay between the socket record of an event and its processing by the event
     * loop.
     */
    private static final long PROCESSING_DELAY_MICROS = 20_000;

    private double highestUse;

    RetryBudgetRule() {
        super(6, "retry budget");
    }

    @Override
    void onRequest(ObservedRequest request) {
        request.incarnation.requestTimes.addLast(request.atMicros);
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        if (settings.retryBudgetWindowMicros() == 0 || attempt.attempt.getAttemptNumber() == 0) {
            return;
        }
        tested++;
        request.incarnation.retryTimes.addLast(attempt.atMicros);
        long retries =
                countSince(
                        request.incarnation.retryTimes,
                        attempt.atMicros
                                - settings.retryBudgetWindowMicros()
                                + PROCESSING_DELAY_MICROS);
        long requests =
                countSince(
                        request.incarnation.requestTimes,
                        attempt.atMicros
                                - settings.retryBudgetWindowMicros()
                                - PROCESSING_DELAY_MICROS);
        double allowed = settings.retryBudgetMinimum() + settings.retryBudgetFraction() * requests;
        highestUse = Math.max(highestUse, retries / allowed);
        if (retries > allowed) {
            recordViolation(
                    String.format(
                            "%s sent %d retries within the budget window, %.1f allowed",
                            request.incarnation.initiator, retries, allowed),
                    attempt.frame);
        }
    }

    private static long countSince(ArrayDeque<Long> times, long sinceMicros) {
        while (!times.isEmpty() && times.peekFirst() <= sinceMicros) {
            times.removeFirst();
        }
        return times.size();
    }

    @Override
    String closestCall() {
        return settings.retryBudgetWindowMicros() == 0
                ? "no retry budget is configured"
                : String.format("at most %.0f%% of the retry budget was used", 100 * highestUse);
    }
}
