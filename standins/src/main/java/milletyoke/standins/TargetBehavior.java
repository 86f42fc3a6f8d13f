package milletyoke.standins;

/**
 * How a target stand-in performs. Immutable; times are microseconds, work is in units.
 *
 * @param cores attempts executed concurrently
 * @param speed of a core, relative to the reference speed of 1
 * @param unitMicros execution time of one unit at speed 1
 * @param queueCapacity most attempts queued in addition to the running ones; further attempts are
 *     answered as overloaded
 * @param maxConnections most connections accepted
 * @param cachedExtents number of most recently accessed extents in the cache
 * @param cachedExtentSaving fraction of its work that an attempt saves on a cache hit
 * @param deferredWriteFraction fraction of a write's work that is deferred and done in batches
 * @param deferredWorkPeriodMicros mean interval between batches of deferred work
 * @param pausePeriodMicros mean interval between stalls, 0 for none
 * @param pauseMicros duration of a stall
 * @param initialCapacityFraction fraction of the full capacity right after a cold start
 * @param warmUpMicros time from a cold start to full capacity
 * @param overloadFactor multiple of the current capacity above which a target that is warming up
 *     collapses
 * @param overloadWindowMicros over which arriving work is summed for that, 0 for no collapse
 * @param reportsLoad whether replies report the queue length
 * @param dropsCancelled whether a cancel removes a queued attempt
 * @param queueingPenalty fraction by which each queued attempt increases the work of an attempt
 *     that begins
 * @param connectionSetupMicros for how long a new connection stalls all cores
 * @param warmUpUnits completed units after which the target is warm, if that is before {@code
 *     warmUpMicros}; 0 to warm up by time alone
 * @param workDistribution how the work of single attempts varies round its mean
 */
public record TargetBehavior(
        int cores,
        double speed,
        long unitMicros,
        int queueCapacity,
        int maxConnections,
        int cachedExtents,
        double cachedExtentSaving,
        double deferredWriteFraction,
        long deferredWorkPeriodMicros,
        long pausePeriodMicros,
        long pauseMicros,
        double initialCapacityFraction,
        long warmUpMicros,
        double overloadFactor,
        long overloadWindowMicros,
        boolean reportsLoad,
        boolean dropsCancelled,
        double queueingPenalty,
        long connectionSetupMicros,
        double warmUpUnits,
        WorkDistribution workDistribution) {

    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * Creates a behavior without queueing penalty and connection cost, with warm-up by time alone
     * and uniformly distributed work.
     */
    public TargetBehavior(
            int cores,
            double speed,
            long unitMicros,
            int queueCapacity,
            int maxConnections,
            int cachedExtents,
            double cachedExtentSaving,
            double deferredWriteFraction,
            long deferredWorkPeriodMicros,
            long pausePeriodMicros,
            long pauseMicros,
            double initialCapacityFraction,
            long warmUpMicros,
            double overloadFactor,
            long overloadWindowMicros,
            boolean reportsLoad,
            boolean dropsCancelled) {
        this(
                cores,
                speed,
                unitMicros,
                queueCapacity,
                maxConnections,
                cachedExtents,
                cachedExtentSaving,
                deferredWriteFraction,
                deferredWorkPeriodMicros,
                pausePeriodMicros,
                pauseMicros,
                initialCapacityFraction,
                warmUpMicros,
                overloadFactor,
                overloadWindowMicros,
                reportsLoad,
                dropsCancelled,
                0,
                0,
                0,
                WorkDistribution.EVEN);
    }

    /** Returns the capacity of a warm target without faults. */
    public double unitsPerSecond() {
        return cores * speed * MICROS_PER_SECOND / unitMicros;
    }
}
