package milletyoke.scheduler;

/**
 * The rules that every attempt must keep, asked in one place just before it is sent: one predicate
 * a rule. Each notes when time alone may change its answer (see {@link Turn#recheckBy}).
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

    /** Whether an attempt of the request may be sent to the target now, by all rules. */
    boolean permits(PendingRequest request, int target) {
        return isAnswerStillInTime(request)
                && targetAcceptsNewWork(target)
                && cannotRunTwice(request, target)
                && withinWarmUpBudget(request, target)
                && isNextForKey(request)
                && withinRetryBudget(request)
                && withinRateLimit(request);
    }

    /** An answer can still reach the client before its deadline. */
    private boolean isAnswerStillInTime(PendingRequest request) {
        long lastSendAt = request.deadlineAt - tuning.answerLeadMicros();
        boolean inTime = !request.answered && turn.now() < lastSendAt;
        if (inTime) {
            turn.recheckBy(lastSendAt);
        }
        return inTime;
    }

    /** There is a target, and the endpoint list allows sending to it. */
    private boolean targetAcceptsNewWork(int target) {
        return target >= 0 && targets.usable[target];
    }

    /** No second execution with an effect of its own is possible. */
    private boolean cannotRunTwice(PendingRequest request, int target) {
        return retryPolicy.cannotRunTwice(request, target);
    }

    /** A target that warms up gets no more than its budget, or shows that it has room. */
    private boolean withinWarmUpBudget(PendingRequest request, int target) {
        return !slowStart.isWarmingUp(target)
                || warmUpAdmission(request, target) != WarmUpAdmission.NONE;
    }

    /** Whether and why an attempt may be sent to a target that warms up. */
    WarmUpAdmission warmUpAdmission(PendingRequest request, int target) {
        boolean isReportedIdle =
                loadReports.reportsQueueDelayWithin(target, slowStart.tolerableQueueDelayMicros());
        return isReportedIdle && slowStart.fitsReportBudget(request, target)
                ? WarmUpAdmission.REPORT
                : slowStart.admission(request, target);
    }

    /** Requests of a key run in their order. */
    private boolean isNextForKey(PendingRequest request) {
        return keyOrdering.isNextForKey(request);
    }

    /** A retry is within the retry budget. */
    private boolean withinRetryBudget(PendingRequest request) {
        return retryBudget.allows(request);
    }

    /** A first attempt is within its volume's rate limit. */
    private boolean withinRateLimit(PendingRequest request) {
        return rateLimits.isWithinLimit(request);
    }
}
