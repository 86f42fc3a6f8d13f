package milletyoke.scheduler;

/** Records the latency of successful responses, and adjusts concurrency limits by it. */
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

    /** Records an attempt that succeeded after {@code latencyMicros}. */
    void record(int target, PendingRequest request, long latencyMicros) {
        targetHealth.recordResponse(target);
        targets.newestRespondedSentAt[target] =
                Math.max(targets.newestRespondedSentAt[target], request.sentAt);
        if (turn.now() == turn.lastStallEndedAt()) {
            return; // the latency includes a stall of this process
        }
        updateAverages(target, latencyMicros);
        if (limiter.isLate(latencyMicros)) {
            limiter.decrease(target, request, latencyMicros);
        } else {
            limiter.increase(target);
            loadReports.recordTimelyResponse();
        }
    }

    private void updateAverages(int target, long latencyMicros) {
        double unloadedMicros = estimates.unloadedLatencyMicros();
        boolean hasNoQueue =
                loadReports.hasReport(target) && targets.queueDelayMicros[target] < unloadedMicros;
        if (unloadedMicros == 0 || hasNoQueue) {
            estimates.recordUnloadedLatency(latencyMicros);
        }
        targets.lastLatencyMicros[target] = latencyMicros;
        double average = targets.latencyMicros[target];
        targets.latencyMicros[target] +=
                (latencyMicros - average) * (average == 0 ? 1 : tuning.smoothing());
    }
}
