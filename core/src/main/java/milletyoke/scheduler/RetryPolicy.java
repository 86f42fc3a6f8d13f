package milletyoke.scheduler;

import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Decides which requests may be attempted again, and where: applies idempotency and the
 * deduplication scope and window of idempotency keys, and skips retries that are unlikely to
 * succeed.
 */
final class RetryPolicy {
    private final TargetTable targets;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SchedulerTuning tuning;
    private double retrySuccessShare = 1;

    RetryPolicy(TargetTable targets, ActiveSettings settings, Turn turn, SchedulerTuning tuning) {
        this.targets = targets;
        this.settings = settings;
        this.turn = turn;
        this.tuning = tuning;
    }

    /** Returns the smoothed share of retries that succeeded. */
    double retrySuccessShare() {
        return retrySuccessShare;
    }

    /**
     * Returns whether an attempt at this target cannot make the request take effect a second time.
     */
    boolean cannotRunTwice(PendingRequest request, int target) {
        if (request.inFlightTarget >= 0 || hasNoAttemptLeft(request)) {
            return false;
        }
        return canExecuteAgain(request)
                && (request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || isInDeduplicationScope(request, target));
    }

    /**
     * Returns whether an admitted request may have an attempt at all. It may not if an earlier
     * request with the same id may have been executed and no target would recognize the duplicate.
     */
    boolean mayBeAttempted(PendingRequest request) {
        return canExecuteAgain(request);
    }

    private boolean isInDeduplicationScope(PendingRequest request, int target) {
        int first = request.executedOn;
        return first < 0
                || switch (request.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> targets.zone[target].equals(targets.zone[first]);
                    case CELL -> targets.shardOf[target] == targets.shardOf[first];
                };
    }

    private boolean canExecuteAgain(PendingRequest request) {
        if (request.executedOn < 0) {
            return true;
        }
        Idempotency idempotency = request.requestClass.idempotency();
        long windowEndsAt =
                request.executedAttemptSentAt + request.requestClass.deduplicationWindowMicros();
        boolean isDeduplicated =
                idempotency == Idempotency.IDEMPOTENCY_KEY && turn.now() < windowEndsAt;
        if (isDeduplicated) {
            turn.recheckBy(windowEndsAt);
        }
        return isDeduplicated || idempotency == Idempotency.IDEMPOTENT;
    }

    private boolean hasNoAttemptLeft(PendingRequest request) {
        return request.attempts >= settings.capabilities().maxAttempts();
    }

    /**
     * Returns whether to queue a request again after an attempt at {@code target} failed. The
     * probability of a retry is the recent share of retries that succeeded.
     */
    boolean isWorthRetrying(PendingRequest request, int target) {
        boolean inTime = turn.now() + targets.latencyMicros[target] < request.objectiveAt;
        return canExecuteAgain(request)
                && !hasNoAttemptLeft(request)
                && inTime
                && settings.random().nextDouble()
                        < Math.max(tuning.minRetryProbability(), retrySuccessShare);
    }

    /** Records the outcome of the latest attempt of a request. */
    void recordOutcome(PendingRequest request, Outcome outcome) {
        if (request.attempts > 1) {
            double success = outcome == Outcome.SUCCEEDED ? 1 : 0;
            retrySuccessShare += tuning.smoothing() * (success - retrySuccessShare);
        }
    }
}
