package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;

/**
 * Watches service discovery for changes, and repeats the watch with jittered exponential backoff
 * after failures.
 */
final class EndpointWatch {
    private final Turn turn;
    private final ActiveSettings settings;
    private final SchedulerTuning tuning;
    private long watchAt = Long.MAX_VALUE;
    private long delayMicros;

    EndpointWatch(Turn turn, ActiveSettings settings, SchedulerTuning tuning) {
        this.turn = turn;
        this.settings = settings;
        this.tuning = tuning;
        delayMicros = tuning.initialWatchDelayMicros();
    }

    void start() {
        watchAt = settings.mustWatchEndpoints() ? turn.now() : Long.MAX_VALUE;
    }

    /** Resets the backoff after service discovery has sent a list. */
    void resetDelay() {
        delayMicros = tuning.initialWatchDelayMicros();
    }

    /**
     * Schedules a new watch after a failure, which leaves open whether the old watch is still
     * active.
     */
    void retryLater() {
        if (settings.mustWatchEndpoints() && watchAt == Long.MAX_VALUE) {
            double jitter = 0.5 + settings.random().nextDouble();
            watchAt = turn.now() + (long) (delayMicros * jitter);
            long maxDelayMicros = settings.limits().watchDeadlineMicros() / 2;
            delayMicros =
                    Math.max(
                            tuning.initialWatchDelayMicros(),
                            Math.min(2 * delayMicros, maxDelayMicros));
        }
    }

    void sendIfDue() {
        if (turn.now() >= watchAt) {
            watchAt = Long.MAX_VALUE;
            turn.add(new Action.WatchEndpoints());
        }
    }

    /** Returns when to send the next watch, {@link Long#MAX_VALUE} for never. */
    long watchAt() {
        return watchAt;
    }
}
