package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;

/** One call of the scheduler: its time, its actions so far, and when to check conditions again. */
final class Turn {
    private long now;
    private List<Action> actions;
    private long recheckAt;
    private long lastStallEndedAt;

    /** Starts a turn at {@code time} without actions. */
    void begin(long time) {
        now = time;
        actions = new ArrayList<>();
    }

    /** Returns the time of the turn, microseconds. */
    long now() {
        return now;
    }

    void add(Action action) {
        actions.add(action);
    }

    List<Action> actions() {
        return actions;
    }

    /** Records that the process was stalled until now. */
    void recordStall() {
        lastStallEndedAt = now;
    }

    /**
     * Returns the time of the last turn that started far later than requested. After a stall of
     * this process, whatever its cause, responses are no evidence of the latency or health of a
     * target, so they are not used as measurements. This is harmful where all turns are late:
     * nothing adapts.
     */
    long lastStallEndedAt() {
        return lastStallEndedAt;
    }

    /** Starts collecting the earliest time at which conditions checked from now on may change. */
    void resetRecheck() {
        recheckAt = IndexedTimerQueue.NEVER;
    }

    /** Notes that a condition just checked may change at {@code time} without an event. */
    void recheckBy(long time) {
        recheckAt = Math.min(recheckAt, time);
    }

    /** Returns the earliest time noted since the last reset. */
    long recheckAt() {
        return recheckAt;
    }
}
