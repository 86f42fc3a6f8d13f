package milletyoke.scheduler;

/**
 * The concurrency limit of each target: additive increase and multiplicative decrease, as TCP's
 * congestion window, and backoff from a target that other initiators fill.
 */
final class ConcurrencyLimiter {
    private final TargetTable targets;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadReports loadReports;
    private final SchedulerTuning tuning;

    ConcurrencyLimiter(
            TargetTable targets,
            ActiveSettings settings,
            Turn turn,
            LoadReports loadReports,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.settings = settings;
        this.turn = turn;
        this.loadReports = loadReports;
        this.tuning = tuning;
    }

    /** Attempts that may be added in flight to the shard's target now; may be negative. */
    int availableSlots(ShardQueue shardQueue) {
        int target = shardQueue.target;
        if (target < 0) {
            return 0;
        }
        if (targets.nextTrialAt[target] > 0) {
            return targets.trialAllowed[target] ? 1 : 0;
        }
        return (int) targets.concurrencyLimit[target] - targets.inFlight[target];
    }

    /** Whether an answer that took so long shows a target that serves in no tag order. */
    boolean isLate(long latencyMicros) {
        return latencyMicros > tuning.lateFraction() * settings.shortestObjectiveMicros();
    }

    /** An answer was in time. */
    void increase(int target) {
        double limit = targets.concurrencyLimit[target];
        targets.backoffMicros[target] /= 2;
        targets.concurrencyLimit[target] =
                Math.min(tuning.maxConcurrencyLimit(), limit + 1 / limit);
    }

    /**
     * An answer was late, or did not come. Halves the limit once a round trip: an attempt sent
     * before the last decrease says nothing of the time after it. Among many initiators, a refusal,
     * a time-out or far too late an answer while hardly any own attempt is in flight shows a queue
     * that others fill: backoff then keeps back, ever longer, what does not fit. Could harm where
     * answers are late by chance.
     */
    void decrease(int target, PendingRequest request, long latencyMicros) {
        if (request.sentAt < targets.limitReducedAt[target]) {
            return;
        }
        long objectiveMicros = settings.shortestObjectiveMicros();
        if (settings.hasManyInitiators()
                && latencyMicros > objectiveMicros / 2
                && targets.inFlight[target] < 2) {
            long next = Math.max(objectiveMicros / 2, 2 * targets.backoffMicros[target]);
            long longest = tuning.maxBackoffObjectives() * objectiveMicros;
            targets.backoffMicros[target] = Math.min(longest, next);
            loadReports.record(target, (double) latencyMicros, targets.backoffMicros[target]);
        }
        targets.concurrencyLimit[target] = Math.max(1, targets.concurrencyLimit[target] / 2);
        targets.limitReducedAt[target] = turn.now();
    }
}
