package milletyoke.gateway.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Queue of attempts and probes without an outcome, ordered by timeout. Owned by the event loop. */
final class AttemptTimeouts {
    private final PriorityQueue<OutboundAttempt> byDueTime =
            new PriorityQueue<>(Comparator.comparingLong(OutboundAttempt::nextDueMicros));

    void add(OutboundAttempt attempt) {
        byDueTime.add(attempt);
    }

    /** Reorders an attempt whose due time changed because it was sent. */
    void update(OutboundAttempt attempt) {
        byDueTime.remove(attempt);
        byDueTime.add(attempt);
    }

    /** Returns when the first timeout is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        dropEnded();
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.peek().nextDueMicros();
    }

    /** Removes and returns the next attempt or probe that is due; null if none. */
    OutboundAttempt pollDue(long nowMicros) {
        return nextDueMicros() <= nowMicros ? byDueTime.poll() : null;
    }

    private void dropEnded() {
        while (!byDueTime.isEmpty() && byDueTime.peek().isEnded) {
            byDueTime.poll();
        }
    }
}
