package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Gives the final response to requests that are given up: a rejection, after which the client may
 * safely retry, or a failure with unknown outcome.
 */
final class CompletionPolicy {
    private final TargetTable targets;
    private final PendingRequests pendingRequests;
    private final ActiveSettings settings;
    private final Turn turn;

    CompletionPolicy(
            TargetTable targets,
            PendingRequests pendingRequests,
            ActiveSettings settings,
            Turn turn) {
        this.targets = targets;
        this.pendingRequests = pendingRequests;
        this.settings = settings;
        this.turn = turn;
    }

    void rejectOrFail(PendingRequest request) {
        String id = request.received.id();
        turn.add(
                isSafeToRetry(request)
                        ? new Action.Reject(id, retryAfterMicros(request.shardQueue.target))
                        : new Action.Fail(id));
        pendingRequests.complete(request);
    }

    /** Ends a request of which an earlier copy may have had its effect. */
    void failDuplicate(PendingRequest request) {
        turn.add(new Action.Fail(request.received.id()));
        pendingRequests.complete(request);
    }

    /** An attempt in flight may still execute, and then after the client's retry. */
    private static boolean isSafeToRetry(PendingRequest request) {
        Idempotency idempotency = request.requestClass.idempotency();
        if (request.inFlightTarget >= 0) {
            return idempotency == Idempotency.IDEMPOTENT;
        }
        boolean isDeduplicatedEverywhere =
                idempotency == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return request.executedOn < 0
                || idempotency == Idempotency.IDEMPOTENT
                || isDeduplicatedEverywhere;
    }

    private long retryAfterMicros(int target) {
        Capabilities capabilities = settings.capabilities();
        if (!capabilities.canSuggestRetryAfter()) {
            return 0;
        }
        long now = turn.now();
        long nextTrialAt =
                target < 0 ? now + settings.shortestObjectiveMicros() : targets.nextTrialAt[target];
        long waitMicros =
                nextTrialAt > 0 ? nextTrialAt - now : (long) targets.latencyMicros[target];
        return Math.max(1, Math.min(capabilities.maxRetryAfterMicros(), waitMicros));
    }
}
