package milletyoke.scheduler;

/**
 * Whether probes wait behind the work at targets. Only then does a report of a short queue show
 * that there is room; a probe that is answered beside the work shows merely that the process runs,
 * and one whose connection came up late is slow without any queue. Learnt from the attempts that
 * were sent right after a probe: how long they took against what the probe reported.
 */
final class ReportCredibility {
    /** Part of the reports that could be checked of late and were confirmed: two in succession. */
    private static final double MIN_CONFIRMED_SHARE = 0.2;

    /** Queue delay that a report has to show to be checked, in unloaded latencies. */
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
     * An attempt that was sent under a report has ended.
     *
     * @param reportedMicros the queue delay that was reported
     * @param tolerableMicros how far an answer may lag behind the report
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
