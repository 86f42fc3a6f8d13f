package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * Enforces the rate limits of volumes by token buckets: this initiator's part of what the plan
 * allows a volume. First attempts spend tokens, retries do not.
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

    /** Registers all plans of the latest settings. */
    void addPlans() {
        for (ServicePlan plan : settings.latestPlans()) {
            dispatchQueue.addPlan(plan.name(), turn.now());
        }
    }

    /** Fills all buckets up to now under their plans; called before and after plans change. */
    void refillAll() {
        dispatchQueue.limitBuckets().forEach(this::refill);
    }

    private void refill(TokenBucket bucket) {
        bucket.set(units(bucket), turn.now());
    }

    /** Returns what a bucket contains now under its plan. */
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
     * Makes the bucket of a volume follow the plan and the number of initiators of an arriving
     * request. Time up to now is credited under the former ones.
     */
    void updateBucketPlan(PendingRequest request) {
        if (request.hasRateLimit()) {
            refill(dispatchQueue.limitBucket(request));
            dispatchQueue.usePlan(dispatchQueue.limitBucket(request), request);
        }
    }

    /** Returns whether the bucket of its volume holds enough for the first attempt of a request. */
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
        double units =
                bucket.isPlanOf(request.received)
                        ? TokenBucket.unitsAt(
                                turn.now(),
                                bucket,
                                settings.startedAt(),
                                request.limitRate(),
                                depth)
                        : units(bucket);
        return Math.min(depth, units);
    }

    private double depth(ServicePlan plan) {
        return plan.limitBurst() + tuning.usedSlackFraction() * plan.limitSlack();
    }
}
