package milletyoke.scheduler;

/** Creates the classes that make decisions, one per concern, and connects each to those it uses. */
final class SchedulerComponents extends SchedulerState {
    final WakeUpTimer wakeUpTimer = new WakeUpTimer(turn, settings, tuning);
    final EndpointWatch endpointWatch = new EndpointWatch(turn, settings, tuning);
    final TargetHealth targetHealth =
            new TargetHealth(targets, dispatchQueue, settings, turn, estimates, tuning);
    final EndpointListUpdater endpointListUpdater =
            new EndpointListUpdater(targets, targetIndex, dispatchQueue, targetHealth, tuning);
    final RateLimits rateLimits = new RateLimits(dispatchQueue, settings, turn, tuning);
    final Reservations reservations = new Reservations(dispatchQueue, settings, turn, estimates);
    final IdleStateEviction eviction =
            new IdleStateEviction(
                    dispatchQueue,
                    targets,
                    targetIndex,
                    keySequences,
                    requestsById.values(),
                    rateLimits::units,
                    reservations::evictionUnits);
    final KeyOrdering keyOrdering =
            new KeyOrdering(keySequences, dispatchQueue, eviction, settings, turn);
    final ExecutedRequests executedRequests = new ExecutedRequests(targets, settings, turn);
    final PendingRequests pendingRequests =
            new PendingRequests(requestsById, dispatchQueue, keyOrdering, executedRequests);
    final WarmUpBudget warmUpBudget = new WarmUpBudget(targets, settings, turn);
    final SlowStart slowStart =
            new SlowStart(targets, dispatchQueue, settings, turn, warmUpBudget, tuning);
    final LoadReports loadReports =
            new LoadReports(
                    targets,
                    dispatchQueue,
                    settings,
                    turn,
                    estimates,
                    slowStart,
                    reservations,
                    tuning);
    final ConcurrencyLimiter limiter =
            new ConcurrencyLimiter(targets, settings, turn, loadReports, tuning);
    final RetryPolicy retryPolicy = new RetryPolicy(targets, settings, turn, tuning);
    final RetryBudget retryBudget = new RetryBudget(dispatchQueue, settings, turn);
    final SendGuard guard =
            new SendGuard(
                    targets,
                    turn,
                    retryPolicy,
                    retryBudget,
                    slowStart,
                    loadReports,
                    keyOrdering,
                    rateLimits,
                    tuning);
    final AttemptSender sender =
            new AttemptSender(
                    targets,
                    turn,
                    guard,
                    retryBudget,
                    rateLimits,
                    reservations,
                    slowStart,
                    targetHealth,
                    loadReports);
    final FairQueue fairQueue =
            new FairQueue(
                    dispatchQueue,
                    turn,
                    estimates,
                    limiter,
                    guard,
                    loadReports,
                    reservations,
                    sender,
                    tuning);
    final PlacementPolicy placement =
            new PlacementPolicy(
                    targets, dispatchQueue, settings, estimates, slowStart, loadReports, tuning);
    final CompletionPolicy completionPolicy =
            new CompletionPolicy(targets, pendingRequests, settings, turn);
    final RequestAdmitter admitter =
            new RequestAdmitter(
                    dispatchQueue,
                    settings,
                    turn,
                    estimates,
                    pendingRequests,
                    retryBudget,
                    rateLimits,
                    keyOrdering,
                    placement,
                    fairQueue,
                    warmUpBudget,
                    executedRequests,
                    retryPolicy,
                    completionPolicy,
                    tuning);
    final AttemptCompletion attemptCompletion =
            new AttemptCompletion(
                    targets,
                    pendingRequests,
                    targetHealth,
                    new LatencyRecorder(
                            targets, turn, estimates, targetHealth, loadReports, limiter, tuning),
                    limiter,
                    keyOrdering,
                    retryPolicy,
                    completionPolicy,
                    placement,
                    fairQueue,
                    slowStart,
                    loadReports,
                    rateLimits,
                    retryBudget,
                    settings);
    final ShardDispatcher shardDispatcher =
            new ShardDispatcher(
                    dispatchQueue,
                    settings,
                    turn,
                    estimates,
                    loadReports,
                    slowStart,
                    limiter,
                    fairQueue,
                    sender,
                    completionPolicy);

    SchedulerComponents(SchedulerTuning tuning) {
        super(tuning);
    }
}
