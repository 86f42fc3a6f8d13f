package milletyoke.scheduler;

import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Which requests may be attempted again, and where: idempotency, the deduplication scope and window
 * of idempotency keys, and whether a retry is worth its cost.
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

    /** The smoothed part of retries that succeeded. */
    double retrySuccessShare() {
        return retrySuccessShare;
    }

    /** Whether an attempt at this target cannot execute the request a second time with effect. */
    boolean cannotRunTwice(PendingRequest request, int target) {
        if (request.inFlightTarget >= 0 || hasNoAttemptLeft(request)) {
            return false;
        }
        return canExecuteAgain(request)
                && (request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                        || isInDeduplicationScope(request, target));
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
                request.executedSince + request.requestClass.deduplicationWindowMicros();
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
     * Whether to queue a request again after an attempt at {@code target} failed. Retries are made
     * as often as recent ones succeeded.
     */
    boolean isWorthRetrying(PendingRequest request, int target) {
        boolean inTime = turn.now() + targets.latencyMicros[target] < request.objectiveAt;
        return canExecuteAgain(request)
                && !hasNoAttemptLeft(request)
                && inTime
                && settings.random().nextDouble()
                        < Math.max(tuning.minRetryProbability(), retrySuccessShare);
    }

    /** The latest attempt of a request ended. */
    void recordOutcome(PendingRequest request, Outcome outcome) {
        if (request.attempts > 1) {
            double success = outcome == Outcome.SUCCEEDED ? 1 : 0;
            retrySuccessShare += tuning.smoothing() * (success - retrySuccessShare);
        }
    }
}
