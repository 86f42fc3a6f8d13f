package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * Limits retries within a sliding window to a share of the requests admitted in it, plus a fixed
 * number.
 */
final class RetryBudget {
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SlidingWindowCounter admissions = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();
    private boolean hadBudget;

    RetryBudget(DispatchQueue dispatchQueue, ActiveSettings settings, Turn turn) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
    }

    void recordAdmission() {
        admissions.add(turn.now(), windowStart());
    }

    void recordRetry() {
        retries.add(turn.now(), windowStart());
        update();
    }

    /**
     * Marks flows that depend on the budget for another check when it is exhausted or becomes
     * available.
     */
    void update() {
        if (hasBudget() != hadBudget) {
            hadBudget = !hadBudget;
            dispatchQueue.retryBudgetChanged();
        }
    }

    /** Returns whether the next attempt of a request is its first or a retry within the budget. */
    boolean allows(PendingRequest request) {
        if (request.attempts == 0) {
            return true;
        }
        if (settings.limits().retryWindowMicros() > 0) {
            dispatchQueue.markRetryBudgetDependent(request.shardQueue);
        }
        return hasBudget();
    }

    private boolean hasBudget() {
        RuleLimits limits = settings.limits();
        long since = windowStart();
        return limits.retryWindowMicros() == 0
                || retries.countSince(since) + 1
                        <= limits.freeRetries()
                                + limits.retryShare() * admissions.countSince(since);
    }

    private long windowStart() {
        return turn.now() - settings.limits().retryWindowMicros();
    }
}
