package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * Tracks the reservations of volumes by token buckets: a request that its bucket covers is below
 * the reservation and goes before those that are not.
 */
final class Reservations {
    /** A bucket holds the units of one second and of this many requests of mean size. */
    private static final int EXTRA_MEAN_REQUESTS = 2;

    /**
     * Eviction takes buckets to be this many times deeper, enough for requests of up to this many
     * times the mean size.
     */
    private static final int EVICTION_DEPTH_FACTOR = 8;

    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadEstimates estimates;

    Reservations(
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            LoadEstimates estimates) {
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.estimates = estimates;
    }

    /** Returns whether the bucket of its volume covers the request. */
    boolean isBelowReservation(PendingRequest request) {
        double rate = request.reservationRate();
        double missing = request.received.units() - units(request);
        if (missing > 0) {
            turn.recheckBy(
                    mayFitLargerBucket(request, rate)
                            ? turn.now()
                            : TokenBucket.filledAt(missing, rate, turn.now()));
        }
        return missing <= 0;
    }

    /** Returns whether the request exceeds a full bucket but may fit once the mean size grows. */
    private boolean mayFitLargerBucket(PendingRequest request, double rate) {
        double units = request.received.units();
        TokenBucket bucket = request.volume.reservationBucket;
        return units > depth(request)
                && units <= rate + EXTRA_MEAN_REQUESTS * estimates.meanUnitsBound()
                && (rate > 0 || (bucket != null && bucket.units >= units));
    }

    /** Takes the tokens of an attempt, as far as the bucket contains them. */
    void spend(PendingRequest request) {
        TokenBucket bucket = request.volume.reservationBucketFor(request.received);
        bucket.set(Math.max(0, units(request) - request.received.units()), turn.now());
        dispatchQueue.usePlan(bucket, request);
    }

    /**
     * Returns what eviction takes a bucket to contain: at most {@link #EVICTION_DEPTH_FACTOR} times
     * its depth.
     */
    double evictionUnits(TokenBucket bucket) {
        ServicePlan plan = settings.plan(bucket.plan);
        double rate = plan == null ? 0 : plan.reservationRate();
        double depth = EVICTION_DEPTH_FACTOR * (rate + EXTRA_MEAN_REQUESTS * estimates.meanUnits());
        return TokenBucket.unitsAt(turn.now(), bucket, settings.startedAt(), rate, depth);
    }

    private double units(PendingRequest request) {
        return TokenBucket.unitsAt(
                turn.now(),
                request.volume.reservationBucket,
                settings.startedAt(),
                request.reservationRate(),
                depth(request));
    }

    private double depth(PendingRequest request) {
        return request.reservationRate() + EXTRA_MEAN_REQUESTS * estimates.meanUnits();
    }
}
