package milletyoke.gateway.loop;

import java.util.PriorityQueue;

/**
 * Every wake-up that the scheduler asked for and that has not come due. All of them are kept: the
 * scheduler may ask for a later one while an earlier one is pending, and does not ask for it again.
 * With a single kept time, requests waited for ever once traffic ended. Owned by the event loop.
 */
final class WakeUpTimers {
    private final PriorityQueue<Long> dueTimes = new PriorityQueue<>();
    private long turnStartMicros;

    /** Sets the time from which the delays of this turn's actions count. */
    void startTurn(long nowMicros) {
        turnStartMicros = nowMicros;
    }

    void schedule(long delayMicros) {
        dueTimes.add(turnStartMicros + delayMicros);
    }

    /** When the first is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        return dueTimes.isEmpty() ? Long.MAX_VALUE : dueTimes.peek();
    }

    /** Removes those that are due; returns whether there were any. */
    boolean removeDue(long nowMicros) {
        boolean hasDue = false;
        while (nextDueMicros() <= nowMicros) {
            dueTimes.poll();
            hasDue = true;
        }
        return hasDue;
    }
}
