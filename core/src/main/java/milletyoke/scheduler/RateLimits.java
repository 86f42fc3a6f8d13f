package milletyoke.scheduler;

import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * Enforces the rate limits of volumes by token buckets: this initiator's part of what the plan
 * allows a volume.
 *
 * <p>A request takes its units when its last byte reaches a target, which may be long after its
 * attempt was decided if the connection comes up late. So units are reserved when an attempt is
 * decided and taken when it is written. What is reserved counts against the contents of the bucket,
 * which do not exceed its depth; therefore no lateness lets a full bucket be spent again before the
 * reserved units are. An attempt that was never written gives its units back. A request whose units
 * were taken needs none for its retries.
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

    /** Returns what a bucket contains now under its plan, reserved units included. */
    double units(TokenBucket bucket) {
        return unitsAt(turn.now(), bucket);
    }

    private double unitsAt(long time, TokenBucket bucket) {
        ServicePlan plan = settings.plan(bucket.plan);
        if (plan == null || plan.limitRate() <= 0) {
            return bucket.units;
        }
        return TokenBucket.unitsAt(
                time,
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

    /**
     * Returns whether the bucket of its volume holds enough unreserved units for the next attempt
     * of a request.
     */
    boolean isWithinLimit(PendingRequest request) {
        if (!request.needsLimitUnits()) {
            return true;
        }
        double reservedUnits = dispatchQueue.limitBucket(request).reservedUnits;
        double missing = request.received.units() - (availableUnits(request) - reservedUnits);
        if (missing > 0) {
            boolean isSamePlan = dispatchQueue.limitBucket(request).isPlanOf(request.received);
            turn.recheckBy(
                    isSamePlan
                            ? TokenBucket.filledAt(missing, request.limitRate(), turn.now())
                            : turn.now());
        }
        return missing <= 0;
    }

    /** Reserves the units of an attempt that is sent now. */
    void reserve(PendingRequest request) {
        if (!request.needsLimitUnits()) {
            return;
        }
        TokenBucket bucket = dispatchQueue.limitBucket(request);
        bucket.set(availableUnits(request), turn.now());
        bucket.reservedUnits += request.received.units();
        request.hasReservedUnits = true;
        dispatchQueue.usePlan(bucket, request);
    }

    /** Takes the reserved units of an attempt that was written, as of {@code writtenAt}. */
    void recordWritten(PendingRequest request, long writtenAt) {
        if (!request.hasReservedUnits) {
            return;
        }
        TokenBucket bucket = request.volume.limitBucket;
        long takenAt = Math.max(writtenAt, bucket.updatedAt);
        removeReservation(request, bucket);
        bucket.set(unitsAt(takenAt, bucket) - request.received.units(), takenAt);
        request.hasSpentUnits = true;
    }

    /**
     * Settles the reserved units of an attempt that ended before it was reported as written: gives
     * them back if it provably was not, and takes them otherwise.
     */
    void recordEnd(PendingRequest request, Outcome outcome) {
        if (!request.hasReservedUnits) {
            return;
        }
        if (outcome.wasNeverWritten()) {
            removeReservation(request, request.volume.limitBucket);
            dispatchQueue.invalidate(request.volume);
        } else {
            recordWritten(request, turn.now());
        }
    }

    private static void removeReservation(PendingRequest request, TokenBucket bucket) {
        bucket.reservedUnits -= request.received.units();
        request.hasReservedUnits = false;
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
