package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;

/** The wake-up asked of the host, and the detection of stalls by how late it comes. */
final class WakeUpTimer {
    private final Turn turn;
    private final ActiveSettings settings;
    private final SchedulerTuning tuning;
    private long wakeAt = Long.MAX_VALUE;

    WakeUpTimer(Turn turn, ActiveSettings settings, SchedulerTuning tuning) {
        this.turn = turn;
        this.settings = settings;
        this.tuning = tuning;
    }

    /** To be called once a turn, before its events. */
    void beginTurn() {
        long now = turn.now();
        if (now - wakeAt > tuning.lateFraction() * settings.shortestObjectiveMicros()) {
            turn.recover();
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
    }

    /** Asks for a wake-up where none is set that comes early enough. */
    void schedule(long watchAt, boolean hasPending, boolean hasQueued) {
        long wanted = Math.min(watchAt, nextCheckAt(hasPending, hasQueued));
        if (wanted < wakeAt) {
            wakeAt = wanted;
            turn.add(new Action.ScheduleWakeUp(Math.max(1, wakeAt - turn.now())));
        }
    }

    private long nextCheckAt(boolean hasPending, boolean hasQueued) {
        if (!hasPending) {
            return Long.MAX_VALUE;
        }
        return turn.now() + (hasQueued ? tuning.queuedCheckMicros() : tuning.inFlightCheckMicros());
    }
}
