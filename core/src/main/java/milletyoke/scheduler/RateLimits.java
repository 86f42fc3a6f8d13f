package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * The rate limits of volumes, as token buckets: this host's part of what its plan allows a volume.
 * First attempts spend tokens, retries do not.
 */
final class RateLimits {
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SchedulerTuning tuning;

    RateLimits(
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            SchedulerTuning tuning) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.tuning = tuning;
    }

    /** All plans of the latest settings are known from now on. */
    void addPlans() {
        for (ServicePlan plan : settings.latestPlans()) {
            dispatchQueue.addPlan(plan.name(), turn.now());
        }
    }

    /** Refills all buckets up to now by the plans they follow; before and after plans change. */
    void refillAll() {
        dispatchQueue.limitBuckets().forEach(this::refill);
    }

    private void refill(TokenBucket bucket) {
        bucket.set(units(bucket), turn.now());
    }

    /** What a bucket contains now by the plan that it follows. */
    double units(TokenBucket bucket) {
        ServicePlan plan = settings.plan(bucket.plan);
        if (plan == null || plan.limitRate() <= 0) {
            return bucket.units;
        }
        return TokenBucket.unitsAt(
                turn.now(),
                bucket,
                settings.startedAt(),
                plan.limitRate() / bucket.initiatorCount,
                depth(plan) / bucket.initiatorCount);
    }

    /**
     * A request arrives: its volume's bucket follows the plan and number of initiators that it
     * names. The time before is paid for by the former ones.
     */
    void open(PendingRequest request) {
        if (request.hasRateLimit()) {
            refill(dispatchQueue.limitBucket(request));
            dispatchQueue.usePlan(dispatchQueue.limitBucket(request), request);
        }
    }

    /** Whether its volume's bucket holds enough for a request's first attempt. */
    boolean isWithinLimit(PendingRequest request) {
        if (request.attempts > 0 || !request.hasRateLimit()) {
            return true;
        }
        double missing = request.received.units() - availableUnits(request);
        if (missing > 0) {
            boolean isSamePlan = dispatchQueue.limitBucket(request).isPlanOf(request.received);
            turn.recheckBy(
                    isSamePlan
                            ? TokenBucket.filledAt(missing, request.limitRate(), turn.now())
                            : turn.now());
        }
        return missing <= 0;
    }

    /** Takes the tokens of a first attempt. */
    void spend(PendingRequest request) {
        TokenBucket bucket = dispatchQueue.limitBucket(request);
        bucket.set(availableUnits(request) - request.received.units(), turn.now());
        dispatchQueue.usePlan(bucket, request);
    }

    private double availableUnits(PendingRequest request) {
        TokenBucket bucket = dispatchQueue.limitBucket(request);
        double depth = depth(request.plan) / request.initiatorCount();
        double whole =
                bucket.isPlanOf(request.received)
                        ? TokenBucket.unitsAt(
                                turn.now(),
                                bucket,
                                settings.startedAt(),
                                request.limitRate(),
                                depth)
                        : units(bucket);
        return Math.min(depth, whole);
    }

    private double depth(ServicePlan plan) {
        return plan.limitBurst() + tuning.usedSlackFraction() * plan.limitSlack();
    }
}
