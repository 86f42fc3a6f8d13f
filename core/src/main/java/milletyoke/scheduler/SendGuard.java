package milletyoke.scheduler;

/**
 * Checks the rules that every attempt must satisfy, immediately before it is sent; one predicate
 * per rule. Each predicate notes when its result may change without an event (see {@link
 * Turn#recheckBy}).
 */
final class SendGuard {
    private final TargetTable targets;
    private final Turn turn;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final KeyOrdering keyOrdering;
    private final RateLimits rateLimits;
    private final SchedulerTuning tuning;

    SendGuard(
            TargetTable targets,
            Turn turn,
            RetryPolicy retryPolicy,
            RetryBudget retryBudget,
            SlowStart slowStart,
            LoadReports loadReports,
            KeyOrdering keyOrdering,
            RateLimits rateLimits,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.turn = turn;
        this.retryPolicy = retryPolicy;
        this.retryBudget = retryBudget;
        this.slowStart = slowStart;
        this.loadReports = loadReports;
        this.keyOrdering = keyOrdering;
        this.rateLimits = rateLimits;
        this.tuning = tuning;
    }

    /** Returns whether all rules allow an attempt of the request at the target now. */
    boolean permits(PendingRequest request, int target) {
        return canRespondBeforeDeadline(request)
                && targetAcceptsNewWork(target)
                && cannotRunTwice(request, target)
                && withinWarmUpBudget(request, target)
                && isNextForKey(request)
                && withinRetryBudget(request)
                && withinRateLimit(request);
    }

    /** A response can still reach the client before its deadline. */
    private boolean canRespondBeforeDeadline(PendingRequest request) {
        long lastSendAt = request.deadlineAt - tuning.responseLeadMicros();
        boolean inTime = !request.answered && turn.now() < lastSendAt;
        if (inTime) {
            turn.recheckBy(lastSendAt);
        }
        return inTime;
    }

    /** The shard has a target, and the endpoint list allows sending to it. */
    private boolean targetAcceptsNewWork(int target) {
        return target >= 0 && targets.usable[target];
    }

    /** The request cannot take effect a second time. */
    private boolean cannotRunTwice(PendingRequest request, int target) {
        return retryPolicy.cannotRunTwice(request, target);
    }

    /** A target that warms up gets no more than its budget, unless it reports spare capacity. */
    private boolean withinWarmUpBudget(PendingRequest request, int target) {
        return !slowStart.isWarmingUp(target)
                || warmUpAdmission(request, target) != WarmUpAdmission.NONE;
    }

    /**
     * Returns on what ground an attempt may be sent to a target that warms up, {@link
     * WarmUpAdmission#NONE} if it may not.
     */
    WarmUpAdmission warmUpAdmission(PendingRequest request, int target) {
        boolean isReportedIdle =
                loadReports.reportsQueueDelayWithin(target, slowStart.tolerableQueueDelayMicros());
        return isReportedIdle && slowStart.fitsReportBudget(request, target)
                ? WarmUpAdmission.REPORT
                : slowStart.admission(request, target);
    }

    /** Requests with the same key run one at a time, in order of admission. */
    private boolean isNextForKey(PendingRequest request) {
        return keyOrdering.isNextForKey(request);
    }

    /** Retries stay within the retry budget. */
    private boolean withinRetryBudget(PendingRequest request) {
        return retryBudget.allows(request);
    }

    /** What reaches the targets stays within the rate limit of its volume. */
    private boolean withinRateLimit(PendingRequest request) {
        return rateLimits.isWithinLimit(request);
    }
}
