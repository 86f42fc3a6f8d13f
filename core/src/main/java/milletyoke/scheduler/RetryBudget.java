package milletyoke.scheduler;

import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * Limits retries within a sliding window to a share of the requests admitted in it, plus a fixed
 * number. A retry is in the window from when it was written, which may be long after it was decided
 * if its connection comes up late. Until then it counts beside the window; one that was never
 * written counts no more.
 */
final class RetryBudget {
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SlidingWindowCounter admissions = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();
    private int unwrittenRetries;
    private long lastRetryAt;
    private boolean hadBudget;

    RetryBudget(DispatchQueue dispatchQueue, ActiveSettings settings, Turn turn) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
    }

    void recordAdmission() {
        admissions.add(turn.now(), windowStart());
    }

    /** Records a retry that is sent now. */
    void recordRetry(PendingRequest request) {
        request.hasUnwrittenRetry = true;
        unwrittenRetries++;
        update();
    }

    /** Records that the attempt in flight was written, if it is a retry. */
    void recordWritten(PendingRequest request, long writtenAt) {
        if (request.hasUnwrittenRetry) {
            removeUnwritten(request);
            lastRetryAt = Math.max(lastRetryAt, writtenAt);
            retries.add(lastRetryAt, windowStart());
            update();
        }
    }

    /** Settles a retry that ended before it was reported as written. */
    void recordEnd(PendingRequest request, Outcome outcome) {
        if (request.hasUnwrittenRetry && outcome.wasNeverWritten()) {
            removeUnwritten(request);
            update();
        } else {
            recordWritten(request, turn.now());
        }
    }

    private void removeUnwritten(PendingRequest request) {
        request.hasUnwrittenRetry = false;
        unwrittenRetries--;
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
                || retries.countSince(since) + unwrittenRetries + 1
                        <= limits.freeRetries()
                                + limits.retryShare() * admissions.countSince(since);
    }

    private long windowStart() {
        return turn.now() - settings.limits().retryWindowMicros();
    }
}
