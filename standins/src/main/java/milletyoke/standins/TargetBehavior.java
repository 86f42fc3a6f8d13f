package milletyoke.standins;

/**
 * What a target stand-in is like. Times are microseconds.
 *
 * @param cores accesses run at once
 * @param speed of a core, 1 for the yardstick
 * @param unitMicros work of one unit at speed 1
 * @param queueCapacity accesses that may wait beside those that run; what is beyond is told to be
 *     full
 * @param maxConnections most that it accepts
 * @param rememberedExtents the last so many pieces of data are remembered: an access to one of them
 *     costs less
 * @param rememberedExtentSaving by this part
 * @param deferredWriteFraction this part of a write's work is done later, in one go
 * @param deferredWorkPeriodMicros every so long
 * @param pausePeriodMicros it stands still about so often, 0 for never
 * @param pauseMicros for so long
 * @param initialCapacityFraction the part of its capacity with which it starts
 * @param warmUpMicros after this it has all of it
 * @param overloadFactor sent more than this multiple of what it can do at the moment
 * @param overloadWindowMicros for so long, it falls over
 * @param reportsLoad its waiting accesses in answers and on probes
 * @param dropsCancelled a cancel takes a waiting access away
 * @param queueingPenalty each access that waits adds this part to the work of one that begins
 * @param connectionSetupMicros all its cores are held for so long by each new connection
 *     (microseconds)
 * @param warmUpUnits it is warm once it has done so many units, if that is before its time; 0 for
 *     by time alone
 * @param workDistribution how the work of one access varies round its mean
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

    /**
     * One that loses nothing in a crowd, takes connections for nothing and warms up by time alone.
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

    /** Units a second when warm and undisturbed. */
    public double unitsPerSecond() {
        return cores * speed * 1e6 / unitMicros;
    }
}
