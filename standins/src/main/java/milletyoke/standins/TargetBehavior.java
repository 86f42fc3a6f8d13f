package milletyoke.standins;

/**
 * What a target stand-in is like. Immutable; times are microseconds, work is in units.
 *
 * @param cores attempts executed at once
 * @param speed of a core; 1 is the reference
 * @param unitMicros the work of one unit at speed 1
 * @param queueCapacity attempts that may wait beside those that run; more are answered as
 *     overloaded
 * @param maxConnections most connections that it accepts
 * @param rememberedExtents so many extents that were accessed last are in its cache
 * @param rememberedExtentSaving the fraction of its work that an attempt in the cache is spared
 * @param deferredWriteFraction the fraction of a write's work that is done later, in one go
 * @param deferredWorkPeriodMicros how often that is
 * @param pausePeriodMicros about how often it stalls, 0 for never
 * @param pauseMicros for how long it stalls then
 * @param initialCapacityFraction the part of its capacity that it has after a cold start
 * @param warmUpMicros how long after a cold start it has all of its capacity
 * @param overloadFactor more than this multiple of what it can do at the moment overloads it
 * @param overloadWindowMicros over this time, while it warms up; it then collapses. 0 for never
 * @param reportsLoad whether replies carry its queue length
 * @param dropsCancelled whether a cancel removes a queued attempt
 * @param queueingPenalty each queued attempt adds this fraction to the work of one that begins
 * @param connectionSetupMicros all its cores stall for so long at each new connection
 * @param warmUpUnits it is warm once it has done so many units, if that is before its time; 0 for
 *     by time alone
 * @param workDistribution how the work of one attempt varies round its mean
 */
public record TargetBehavior(
        int cores,
        double speed,
        long unitMicros,
        int queueCapacity,
        int maxConnections,
        int rememberedExtents,
        double rememberedExtentSaving,
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
     * A target without a queueing penalty and without cost of a connection, which warms up by time
     * alone and whose work is spread evenly.
     */
    public TargetBehavior(
            int cores,
            double speed,
            long unitMicros,
            int queueCapacity,
            int maxConnections,
            int rememberedExtents,
            double rememberedExtentSaving,
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
                rememberedExtents,
                rememberedExtentSaving,
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

    /** Its capacity when it is warm and undisturbed. */
    public double unitsPerSecond() {
        return cores * speed * MICROS_PER_SECOND / unitMicros;
    }
}
