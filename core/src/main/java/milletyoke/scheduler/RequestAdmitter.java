package milletyoke.scheduler;

import java.util.HashMap;
import java.util.Map;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;

/**
 * Admits requests: sets their deadline and latency objective, and queues them. A request that was
 * executed before under the same id is ended at once.
 */
final class RequestAdmitter {
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final PendingRequests pendingRequests;
    private final RetryBudget retryBudget;
    private final RateLimits rateLimits;
    private final KeyOrdering keyOrdering;
    private final PlacementPolicy placement;
    private final FairQueue fairQueue;
    private final WarmUpBudget warmUpBudget;
    private final ExecutedRequests executedRequests;
    private final RetryPolicy retryPolicy;
    private final CompletionPolicy completionPolicy;
    private final SchedulerTuning tuning;

    /**
     * Longest time to live seen in each request class, from which the time used by earlier tries of
     * a client follows.
     */
    private final Map<String, Long> longestTimeLeftMicros = new HashMap<>();

    RequestAdmitter(
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            LoadEstimates estimates,
            PendingRequests pendingRequests,
            RetryBudget retryBudget,
            RateLimits rateLimits,
            KeyOrdering keyOrdering,
            PlacementPolicy placement,
            FairQueue fairQueue,
            WarmUpBudget warmUpBudget,
            ExecutedRequests executedRequests,
            RetryPolicy retryPolicy,
            CompletionPolicy completionPolicy,
            SchedulerTuning tuning) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.estimates = estimates;
        this.pendingRequests = pendingRequests;
        this.retryBudget = retryBudget;
        this.rateLimits = rateLimits;
        this.keyOrdering = keyOrdering;
        this.placement = placement;
        this.fairQueue = fairQueue;
        this.warmUpBudget = warmUpBudget;
        this.executedRequests = executedRequests;
        this.retryPolicy = retryPolicy;
        this.completionPolicy = completionPolicy;
        this.tuning = tuning;
    }

    void admit(Event.RequestReceived received) {
        PendingRequest request =
                new PendingRequest(
                        received,
                        pendingRequests.nextAdmissionNumber(),
                        settings.requestClass(received.requestClass()),
                        dispatchQueue.volume(received, turn.now()),
                        settings.plan(received.plan()));
        setTimes(request);
        pendingRequests.add(request);
        retryBudget.recordAdmission();
        rateLimits.updateBucketPlan(request);
        estimates.recordUnits(received.units());
        keyOrdering.admit(request);
        request.shardQueue =
                received.shard() < 0
                        ? placement.chooseShard()
                        : dispatchQueue.shardQueue(received.shard());
        executedRequests.recall(request);
        if (!retryPolicy.mayBeAttempted(request)) {
            completionPolicy.failDuplicate(request);
            return;
        }
        if (!executedRequests.tryReserve(request)) {
            completionPolicy.rejectOrFail(request);
            return;
        }
        warmUpBudget.recordRequested(request);
        fairQueue.enqueue(request);
    }

    /**
     * Sets the deadline and the objective. When a client retries a request, it leaves less time for
     * it; the objective counts from its first try. A request with less time left than the objective
     * is treated as new, because a client retry that late could hardly be answered in time.
     */
    private void setTimes(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        long now = turn.now();
        long timeLeft = request.received.timeLeftMicros();
        long objective = requestClass.latencyObjectiveMicros();
        long longestTimeLeft =
                longestTimeLeftMicros.merge(requestClass.name(), timeLeft, Math::max);
        request.deadlineAt = now + timeLeft;
        request.firstReceivedAt = timeLeft < objective ? now : now - (longestTimeLeft - timeLeft);
        request.objectiveAt =
                Math.min(
                        request.firstReceivedAt + objective,
                        request.deadlineAt - tuning.responseLeadMicros());
    }
}
