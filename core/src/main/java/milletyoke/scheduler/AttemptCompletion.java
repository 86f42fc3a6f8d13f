package milletyoke.scheduler;

import java.util.EnumSet;
import java.util.Set;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;

/**
 * Handles the end of an attempt: updates the state of its target, and completes or retries its
 * request.
 */
final class AttemptCompletion {
    /** Outcomes after which the attempt may still be executing at its target. */
    private static final Set<Outcome> MAY_STILL_EXECUTE =
            EnumSet.of(Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED);

    private final TargetTable targets;
    private final PendingRequests pendingRequests;
    private final TargetHealth targetHealth;
    private final LatencyRecorder latencyRecorder;
    private final ConcurrencyLimiter limiter;
    private final KeyOrdering keyOrdering;
    private final RetryPolicy retryPolicy;
    private final CompletionPolicy completionPolicy;
    private final PlacementPolicy placement;
    private final FairQueue fairQueue;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final RateLimits rateLimits;
    private final RetryBudget retryBudget;
    private final ActiveSettings settings;

    AttemptCompletion(
            TargetTable targets,
            PendingRequests pendingRequests,
            TargetHealth targetHealth,
            LatencyRecorder latencyRecorder,
            ConcurrencyLimiter limiter,
            KeyOrdering keyOrdering,
            RetryPolicy retryPolicy,
            CompletionPolicy completionPolicy,
            PlacementPolicy placement,
            FairQueue fairQueue,
            SlowStart slowStart,
            LoadReports loadReports,
            RateLimits rateLimits,
            RetryBudget retryBudget,
            ActiveSettings settings) {
        this.targets = targets;
        this.pendingRequests = pendingRequests;
        this.targetHealth = targetHealth;
        this.latencyRecorder = latencyRecorder;
        this.limiter = limiter;
        this.keyOrdering = keyOrdering;
        this.retryPolicy = retryPolicy;
        this.completionPolicy = completionPolicy;
        this.placement = placement;
        this.fairQueue = fairQueue;
        this.slowStart = slowStart;
        this.loadReports = loadReports;
        this.rateLimits = rateLimits;
        this.retryBudget = retryBudget;
        this.settings = settings;
    }

    /** Records that the attempt in flight was written to its target's connection. */
    void recordWritten(Event.AttemptWritten written) {
        PendingRequest request = pendingRequests.find(written.id());
        if (request != null) {
            rateLimits.recordWritten(request, written.writtenAtMicros());
            retryBudget.recordWritten(request, written.writtenAtMicros());
        }
    }

    /** Processes the end of an attempt; ignores outcomes of any attempt but the one in flight. */
    void complete(Event.AttemptEnded ended) {
        PendingRequest request = pendingRequests.find(ended.id());
        if (request == null
                || request.inFlightTarget < 0
                || request.attempts - 1 != ended.attemptNumber()) {
            return;
        }
        int target = request.inFlightTarget;
        request.inFlightTarget = -1;
        targets.inFlightRequests.get(target).remove(request);
        targetHealth.releaseSlot(request, target);
        loadReports.recordEnd(request, ended);
        slowStart.recordEnd(request, target, ended.outcome());
        rateLimits.recordEnd(request, ended.outcome());
        retryBudget.recordEnd(request, ended.outcome());
        updateTarget(target, request, ended);
        targetHealth.scheduleCheck(target);
        updateRequest(target, request, ended.outcome());
        retryPolicy.recordOutcome(request, ended.outcome());
        finishOrRetry(target, request, ended.answered());
    }

    private void updateTarget(int target, PendingRequest request, Event.AttemptEnded ended) {
        switch (ended.outcome()) {
            case SUCCEEDED -> latencyRecorder.record(target, request, ended.latencyMicros());
            case ERROR -> targetHealth.recordResponse(target);
            case OVERLOADED -> {
                targetHealth.recordResponse(target);
                limiter.decrease(target, request, settings.shortestObjectiveMicros());
            }
            case TIMED_OUT -> limiter.decrease(target, request, settings.shortestObjectiveMicros());
            case NO_CONNECTION -> targetHealth.markUnresponsive(target);
            default -> {
                // other outcomes are no evidence of the state of the target
            }
        }
    }

    private void updateRequest(int target, PendingRequest request, Outcome outcome) {
        boolean mayStillExecute = MAY_STILL_EXECUTE.contains(outcome);
        if (mayStillExecute) {
            keyOrdering.startQuietPeriod(request);
        }
        if (outcome == Outcome.SUCCEEDED) {
            request.succeededOn = target;
        }
        if (request.executedOn < 0 && (mayStillExecute || outcome == Outcome.ERROR)) {
            request.executedOn = target;
            request.executedAttemptSentAt = request.sentAt;
        }
    }

    private void finishOrRetry(int target, PendingRequest request, boolean hasFinalResponse) {
        if (hasFinalResponse || request.answered) {
            pendingRequests.complete(request);
        } else if (retryPolicy.isWorthRetrying(request, target)) {
            if (request.received.shard() < 0 && request.executedOn < 0) {
                request.shardQueue = placement.chooseShard();
            }
            fairQueue.enqueue(request);
        } else {
            completionPolicy.rejectOrFail(request);
        }
    }
}
