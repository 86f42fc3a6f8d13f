package milletyoke.gateway.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Attempts and probes without an outcome, by when they time out. Owned by the event loop. */
final class AttemptTimeouts {
    private final PriorityQueue<OutboundAttempt> byDueTime =
            new PriorityQueue<>(Comparator.comparingLong(OutboundAttempt::nextDueMicros));

    void add(OutboundAttempt attempt) {
        byDueTime.add(attempt);
    }

    /** Sorts an attempt in anew whose due time changed when it was sent. */
    void update(OutboundAttempt attempt) {
        byDueTime.remove(attempt);
        byDueTime.add(attempt);
    }

    /** When the first is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        dropEnded();
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.peek().nextDueMicros();
    }

    /** Removes and returns the next that is due; null for none. */
    OutboundAttempt pollDue(long nowMicros) {
        return nextDueMicros() <= nowMicros ? byDueTime.poll() : null;
    }

    private void dropEnded() {
        while (!byDueTime.isEmpty() && byDueTime.peek().isEnded) {
            byDueTime.poll();
        }
    }
}
