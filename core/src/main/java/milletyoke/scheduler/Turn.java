package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;

/** One call of the scheduler: its time, its actions so far, and when to check again. */
final class Turn {
    private long now;
    private List<Action> actions;
    private long recheckAt;
    private long recoveredAt;

    /** Starts a turn at {@code time} with no actions. */
    void begin(long time) {
        now = time;
        actions = new ArrayList<>();
    }

    /** The turn's time, microseconds. */
    long now() {
        return now;
    }

    void add(Action action) {
        actions.add(action);
    }

    List<Action> actions() {
        return actions;
    }

    /** Notes that the process stalled until now. */
    void recover() {
        recoveredAt = now;
    }

    /**
     * When a turn last came far later than was asked for. Guards against stalls of this process for
     * any cause: what arrived meanwhile says nothing of a target's latency or health. Could harm
     * where all turns are late: nothing adapts.
     */
    long recoveredAt() {
        return recoveredAt;
    }

    /** Starts to collect the time at which conditions checked from now on may change. */
    void resetRecheck() {
        recheckAt = IndexedTimerQueue.NEVER;
    }

    /** A condition that was just checked may change at {@code time}, by time alone. */
    void recheckBy(long time) {
        recheckAt = Math.min(recheckAt, time);
    }

    /** The earliest time at which a condition checked since the last reset may change. */
    long recheckAt() {
        return recheckAt;
    }
}
