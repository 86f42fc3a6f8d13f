package milletyoke.gateway.loop;

import java.util.PriorityQueue;

/**
 * Pending wake-ups of the scheduler. All of them are kept: the scheduler may schedule a later one
 * while an earlier one is pending, and does not schedule it again. If only one time were kept,
 * requests would wait forever once traffic ends. Owned by the event loop.
 */
final class WakeUpTimers {
    private final PriorityQueue<Long> dueTimes = new PriorityQueue<>();
    private long turnStartMicros;

    /** Sets the start of this turn, to which the delays of its wake-ups are added. */
    void startTurn(long nowMicros) {
        turnStartMicros = nowMicros;
    }

    void schedule(long delayMicros) {
        dueTimes.add(turnStartMicros + delayMicros);
    }

    /** Returns when the first wake-up is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        return dueTimes.isEmpty() ? Long.MAX_VALUE : dueTimes.peek();
    }

    /** Removes all wake-ups that are due; returns whether there were any. */
    boolean removeDue(long nowMicros) {
        boolean hasDue = false;
        while (nextDueMicros() <= nowMicros) {
            dueTimes.poll();
            hasDue = true;
        }
        return hasDue;
    }
}
