package milletyoke.scheduler;

/**
 * Moving averages over all targets. Times are computed from an upper bound of each average, so that
 * they need not be computed again at every change.
 */
final class LoadEstimates {
    /** Slow responses weigh less: other requests were probably queued before them. */
    private static final int SLOW_RESPONSE_DIVISOR = 8;

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
                        : tuning.smoothing() / SLOW_RESPONSE_DIVISOR;
        unloadedLatencyMicros +=
                (latencyMicros - unloadedLatencyMicros) * (unloadedLatencyMicros == 0 ? 1 : weight);
    }

    /** Raises the bounds that their averages exceed, and returns whether there was one. */
    boolean raiseBounds(long now) {
        boolean latencyRaised = unloadedLatencyMark.raiseFor(unloadedLatencyMicros, now);
        boolean unitsRaised = unitsMark.raiseFor(meanUnits, now);
        return latencyRaised || unitsRaised;
    }

    /** Returns the latency of a request at a target without a queue; 0 while unknown. */
    double unloadedLatencyMicros() {
        return unloadedLatencyMicros;
    }

    double unloadedLatencyBound() {
        return unloadedLatencyMark.bound;
    }

    /** Returns the mean size of a request, units. */
    double meanUnits() {
        return meanUnits;
    }

    double meanUnitsBound() {
        return unitsMark.bound;
    }
}
