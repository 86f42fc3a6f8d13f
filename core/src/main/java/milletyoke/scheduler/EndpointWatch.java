package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;

/** The watch of service discovery, repeated with jittered exponential backoff after failures. */
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

    /** A list arrived from discovery itself. */
    void resetDelay() {
        delayMicros = tuning.initialWatchDelayMicros();
    }

    /** A failure does not say whether the watch still stands, so it is asked for again. */
    void retryLater() {
        if (settings.mustWatchEndpoints() && watchAt == Long.MAX_VALUE) {
            double jitter = 0.5 + settings.random().nextDouble();
            watchAt = turn.now() + (long) (delayMicros * jitter);
            long longest = settings.limits().watchDeadlineMicros() / 2;
            delayMicros =
                    Math.max(tuning.initialWatchDelayMicros(), Math.min(2 * delayMicros, longest));
        }
    }

    void sendIfDue() {
        if (turn.now() >= watchAt) {
            watchAt = Long.MAX_VALUE;
            turn.add(new Action.WatchEndpoints());
        }
    }

    /** When the watch is to be sent next, {@link Long#MAX_VALUE} for not at all. */
    long watchAt() {
        return watchAt;
    }
}
