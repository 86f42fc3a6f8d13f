package milletyoke.scheduler;

/**
 * Tracks whether load reports of probes can be relied on. That is so only if targets queue probes
 * behind their work: a probe that is answered ahead of the work merely shows that the process runs,
 * and a probe whose connection was established late is slow without any queue. Compares the
 * latencies of attempts sent right after a probe with the queue delay that the probe reported.
 */
final class ReportCredibility {
    /** Least smoothed share of confirmed reports, reached by two confirmations in succession. */
    private static final double MIN_CONFIRMED_SHARE = 0.2;

    /** Least reported queue delay that can confirm reports, in unloaded latencies. */
    private static final double MIN_CHECKED_LATENCIES = 2;

    private final LoadEstimates estimates;
    private final SchedulerTuning tuning;
    private double confirmedShare;

    ReportCredibility(LoadEstimates estimates, SchedulerTuning tuning) {
        this.estimates = estimates;
        this.tuning = tuning;
    }

    boolean isCredible() {
        return confirmedShare >= MIN_CONFIRMED_SHARE;
    }

    /**
     * Records the end of an attempt that was sent while a report was valid.
     *
     * @param reportedMicros the reported queue delay
     * @param tolerableMicros how much later than reported the response may come
     */
    void record(double reportedMicros, long latencyMicros, double tolerableMicros) {
        double unloaded = estimates.unloadedLatencyMicros();
        boolean reportsQueue = reportedMicros >= MIN_CHECKED_LATENCIES * unloaded;
        boolean isTooLate = latencyMicros > reportedMicros + unloaded + tolerableMicros;
        boolean isTooEarly = reportsQueue && latencyMicros < reportedMicros / 2;
        if (isTooLate || isTooEarly) {
            confirmedShare = 0;
        } else if (reportsQueue) {
            confirmedShare += tuning.smoothing() * (1 - confirmedShare);
        }
    }
}
