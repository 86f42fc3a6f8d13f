package milletyoke.scheduler;

import java.util.List;

/** Sends queued requests of the shards that are marked or due, and schedules their next service. */
final class ShardDispatcher {
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final LoadReports loadReports;
    private final SlowStart slowStart;
    private final ConcurrencyLimiter limiter;
    private final FairQueue fairQueue;
    private final AttemptSender sender;
    private final CompletionPolicy completionPolicy;

    ShardDispatcher(
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            LoadEstimates estimates,
            LoadReports loadReports,
            SlowStart slowStart,
            ConcurrencyLimiter limiter,
            FairQueue fairQueue,
            AttemptSender sender,
            CompletionPolicy completionPolicy) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.estimates = estimates;
        this.loadReports = loadReports;
        this.slowStart = slowStart;
        this.limiter = limiter;
        this.fairQueue = fairQueue;
        this.sender = sender;
        this.completionPolicy = completionPolicy;
    }

    /** Serves all shards that are marked or due. */
    void serveAll() {
        ShardQueue shardQueue = dispatchQueue.next(null);
        while (shardQueue != null) {
            serve(shardQueue);
            shardQueue = dispatchQueue.next(shardQueue);
        }
    }

    /**
     * Serves one shard. A request that can no longer be answered within its latency objective is
     * sent last, into slots that are left over and that nothing else needs (many initiators, a rate
     * limit); otherwise it gets its final response at once. Prevents a backlog of any cause from
     * making all later requests late too. Rejects requests needlessly if the latency estimate is
     * too high.
     */
    private void serve(ShardQueue shardQueue) {
        int target = shardQueue.target;
        boolean awaitsProbe = loadReports.mustAwaitProbe(target);
        double expectedMicros = loadReports.expectedLatencyMicros(target);
        List<PendingRequest> late = shardQueue.requestsDueBefore(turn.now() + expectedMicros);
        late.forEach(dispatchQueue::dequeue);
        boolean mayHaveMore = !awaitsProbe;
        while (mayHaveMore) {
            mayHaveMore = fairQueue.sendBatch(shardQueue);
        }
        for (PendingRequest request : late) {
            if (!sendLate(request, shardQueue, awaitsProbe)) {
                completionPolicy.rejectOrFail(request);
            }
        }
        scheduleNextService(shardQueue, awaitsProbe);
    }

    private boolean sendLate(PendingRequest request, ShardQueue shardQueue, boolean awaitsProbe) {
        int target = shardQueue.target;
        return !awaitsProbe
                && limiter.availableSlots(shardQueue) > 0
                && loadReports.canJoin(request, target)
                && mayUseSpareSlot(request)
                && sender.trySend(request, target);
    }

    private boolean mayUseSpareSlot(PendingRequest request) {
        return turn.now() <= request.objectiveAt
                || (!settings.hasManyInitiators() && !request.needsLimitUnits());
    }

    /**
     * Schedules the next service for the time at which the result may change without an event: a
     * request becomes late, the warm-up ends, or a parked flow is due.
     */
    private void scheduleNextService(ShardQueue shardQueue, boolean awaitsProbe) {
        turn.resetRecheck();
        int target = shardQueue.target;
        double expectedMicros =
                loadReports.expectedLatencyMicros(target)
                        + estimates.unloadedLatencyBound()
                        - estimates.unloadedLatencyMicros();
        if (target >= 0 && slowStart.isWarmingUp(target)) {
            turn.recheckBy(slowStart.warmUpEndsAt(target));
        }
        if (!awaitsProbe
                && !shardQueue.parked.isEmpty()
                && limiter.availableSlots(shardQueue) > 0) {
            turn.recheckBy(shardQueue.parked.first().parkedUntil);
        }
        if (!shardQueue.byObjective.isEmpty()) {
            long objectiveAt = shardQueue.byObjective.first().objectiveAt;
            turn.recheckBy((long) (objectiveAt - expectedMicros));
        }
        dispatchQueue.serveAt(shardQueue, turn.recheckAt());
    }
}
