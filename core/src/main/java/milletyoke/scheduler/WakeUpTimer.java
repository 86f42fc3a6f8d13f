package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;

/** Requests wake-ups from the caller, and detects stalls by how late they arrive. */
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

    /** Must be called once per turn, before its events are handled. */
    void beginTurn() {
        long now = turn.now();
        if (now - wakeAt > tuning.lateFraction() * settings.shortestObjectiveMicros()) {
            turn.recordStall();
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
    }

    /** Requests a wake-up unless one that is early enough is set. */
    void schedule(long watchAt, boolean hasPending, boolean hasQueued) {
        long neededAt = Math.min(watchAt, nextCheckAt(hasPending, hasQueued));
        if (neededAt < wakeAt) {
            wakeAt = neededAt;
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
