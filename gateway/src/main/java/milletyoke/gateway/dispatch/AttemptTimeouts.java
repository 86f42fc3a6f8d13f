package milletyoke.gateway.dispatch;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Queue of attempts and probes without an outcome, ordered by timeout. One that ended is removed
 * and not kept until its timeout. Owned by the event loop.
 */
final class AttemptTimeouts {
    private final NavigableSet<OutboundAttempt> byDueTime =
            new TreeSet<>(
                    Comparator.<OutboundAttempt>comparingLong(attempt -> attempt.queuedDueMicros)
                            .thenComparingLong(attempt -> attempt.frameNumber));

    /** Adds an attempt, or moves it if its due time changed because it was sent. */
    void put(OutboundAttempt attempt) {
        byDueTime.remove(attempt);
        attempt.queuedDueMicros = attempt.nextDueMicros();
        byDueTime.add(attempt);
    }

    /** Removes an attempt that ended; does nothing if it is not queued. */
    void remove(OutboundAttempt attempt) {
        byDueTime.remove(attempt);
    }

    /** Returns when the first timeout is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        return byDueTime.isEmpty() ? Long.MAX_VALUE : byDueTime.first().queuedDueMicros;
    }

    /** Removes and returns the next attempt or probe that is due; null if none. */
    OutboundAttempt pollDue(long nowMicros) {
        return nextDueMicros() <= nowMicros ? byDueTime.pollFirst() : null;
    }
}
