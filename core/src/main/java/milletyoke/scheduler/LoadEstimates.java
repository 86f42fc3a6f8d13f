package milletyoke.scheduler;

/**
 * Moving averages over all targets, each with an upper bound from which times are computed, so that
 * those need not be computed anew at each change.
 */
final class LoadEstimates {
    /** Slow answers weigh less: other requests were probably queued before them. */
    private static final int SLOW_ANSWER_DIVISOR = 8;

    private final SchedulerTuning tuning;
    private final HighWaterMark unloadedLatencyMark = new HighWaterMark();
    private final HighWaterMark unitsMark = new HighWaterMark();
    private double unloadedLatencyMicros;
    private double meanUnits;

    LoadEstimates(SchedulerTuning tuning) {
        this.tuning = tuning;
    }

    void recordUnits(double units) {
        meanUnits += (units - meanUnits) * (meanUnits == 0 ? 1 : tuning.smoothing());
    }

    void recordUnloadedLatency(long latencyMicros) {
        double weight =
                latencyMicros < unloadedLatencyMicros
                        ? tuning.smoothing()
                        : tuning.smoothing() / SLOW_ANSWER_DIVISOR;
        unloadedLatencyMicros +=
                (latencyMicros - unloadedLatencyMicros) * (unloadedLatencyMicros == 0 ? 1 : weight);
    }

    /** Whether an average has outgrown its bound; both bounds then hold again. */
    boolean raiseBounds(long now) {
        boolean latencyRaised = unloadedLatencyMark.raiseFor(unloadedLatencyMicros, now);
        boolean unitsRaised = unitsMark.raiseFor(meanUnits, now);
        return latencyRaised || unitsRaised;
    }

    /** What a request takes at a target where no other is queued; 0 while unknown. */
    double unloadedLatencyMicros() {
        return unloadedLatencyMicros;
    }

    double unloadedLatencyBound() {
        return unloadedLatencyMark.bound;
    }

    /** The mean size of a request. */
    double meanUnits() {
        return meanUnits;
    }

    double meanUnitsBound() {
        return unitsMark.bound;
    }
}
