package milletyoke.scheduler;

/**
 * Limits the attempts in flight at each target by additive increase and multiplicative decrease, as
 * TCP's congestion window does, and backs off from a target whose queue other initiators fill.
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

    /**
     * Returns how many attempts may be added in flight at the target of the shard; may be negative.
     */
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

    /**
     * Returns whether a response is late: the request spent that time in the queue of the target,
     * which is not ordered by tags.
     */
    boolean isLate(long latencyMicros) {
        return latencyMicros > tuning.lateFraction() * settings.shortestObjectiveMicros();
    }

    /** Raises the limit after a timely response. */
    void increase(int target) {
        double limit = targets.concurrencyLimit[target];
        targets.backoffMicros[target] /= 2;
        targets.concurrencyLimit[target] =
                Math.min(tuning.maxConcurrencyLimit(), limit + 1 / limit);
    }

    /**
     * Lowers the limit after a late or missing response. Halves it once per round trip at most: an
     * attempt sent before the last decrease is no evidence of the load after it. Among many
     * initiators, a refusal, a time-out or a very late response while hardly any own attempt is in
     * flight indicates a queue that others fill; what does not fit is then held back for a backoff
     * period that doubles each time. This is harmful where responses are late by chance.
     */
    void decrease(int target, PendingRequest request, long latencyMicros) {
        if (request.sentAt < targets.limitReducedAt[target]) {
            return;
        }
        long objectiveMicros = settings.shortestObjectiveMicros();
        if (settings.hasManyInitiators()
                && latencyMicros > objectiveMicros / 2
                && targets.inFlight[target] < 2) {
            long nextBackoffMicros =
                    Math.max(objectiveMicros / 2, 2 * targets.backoffMicros[target]);
            long maxBackoffMicros = tuning.maxBackoffObjectives() * objectiveMicros;
            targets.backoffMicros[target] = Math.min(maxBackoffMicros, nextBackoffMicros);
            loadReports.record(target, (double) latencyMicros, targets.backoffMicros[target]);
        }
        targets.concurrencyLimit[target] = Math.max(1, targets.concurrencyLimit[target] / 2);
        targets.limitReducedAt[target] = turn.now();
    }
}
