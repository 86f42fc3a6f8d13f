package milletyoke.scheduler;

/** Successful answers: the latencies they show, and whether they were in time. */
final class LatencyRecorder {
    private final TargetTable targets;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final TargetHealth targetHealth;
    private final LoadReports loadReports;
    private final ConcurrencyLimiter limiter;
    private final SchedulerTuning tuning;

    LatencyRecorder(
            TargetTable targets,
            Turn turn,
            LoadEstimates estimates,
            TargetHealth targetHealth,
            LoadReports loadReports,
            ConcurrencyLimiter limiter,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.turn = turn;
        this.estimates = estimates;
        this.targetHealth = targetHealth;
        this.loadReports = loadReports;
        this.limiter = limiter;
        this.tuning = tuning;
    }

    /** An attempt succeeded after that long. */
    void record(int target, PendingRequest request, long latencyMicros) {
        targetHealth.recordAnswer(target);
        targets.newestAnsweredSentAt[target] =
                Math.max(targets.newestAnsweredSentAt[target], request.sentAt);
        if (turn.now() == turn.recoveredAt()) {
            return; // the latency includes a stall of this process
        }
        updateAverages(target, latencyMicros);
        if (limiter.isLate(latencyMicros)) {
            limiter.decrease(target, request, latencyMicros);
        } else {
            limiter.increase(target);
            loadReports.recordPromptAnswer();
        }
    }

    private void updateAverages(int target, long latencyMicros) {
        double unloaded = estimates.unloadedLatencyMicros();
        boolean hasNoQueue =
                loadReports.hasReport(target) && targets.queueDelayMicros[target] < unloaded;
        if (unloaded == 0 || hasNoQueue) {
            estimates.recordUnloadedLatency(latencyMicros);
        }
        targets.lastLatencyMicros[target] = latencyMicros;
        double average = targets.latencyMicros[target];
        targets.latencyMicros[target] +=
                (latencyMicros - average) * (average == 0 ? 1 : tuning.smoothing());
    }
}
