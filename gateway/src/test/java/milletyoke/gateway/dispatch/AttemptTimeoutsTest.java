package milletyoke.gateway.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Attempt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of timeouts, and that attempts that ended take no memory. */
@Timeout(30)
class AttemptTimeoutsTest {
    private static final long NO_TIMEOUT = Long.MAX_VALUE;

    /** Far more than the collector needs to find what is unreachable. */
    private static final int MAX_COLLECTIONS = 20;

    private final AttemptTimeouts timeouts = new AttemptTimeouts();

    private static OutboundAttempt attempt(long frameNumber, long connectDeadlineMicros) {
        return OutboundAttempt.ofAttempt(
                "target",
                "request" + frameNumber,
                0,
                Attempt.newBuilder(),
                frameNumber,
                0,
                connectDeadlineMicros + 100,
                connectDeadlineMicros);
    }

    /** Guards against attempts that are kept after their end, behind one that waits longer. */
    @Test
    void aRemovedAttemptIsNotReachableWhileAnEarlierOneWaits() {
        timeouts.put(attempt(1, 10));
        List<WeakReference<OutboundAttempt>> removed = new ArrayList<>();
        for (int number = 2; number < 100; number++) {
            removed.add(new WeakReference<>(putAndRemove(number)));
        }
        for (int i = 0; i < MAX_COLLECTIONS && isAnyReachable(removed); i++) {
            System.gc();
        }
        assertFalse(isAnyReachable(removed));
        assertEquals(10, timeouts.nextDueMicros());
    }

    private static boolean isAnyReachable(List<WeakReference<OutboundAttempt>> references) {
        return references.stream().anyMatch(reference -> reference.get() != null);
    }

    private OutboundAttempt putAndRemove(long frameNumber) {
        OutboundAttempt attempt = attempt(frameNumber, 10 + frameNumber);
        timeouts.put(attempt);
        timeouts.remove(attempt);
        return attempt;
    }

    @Test
    void aSentAttemptTimesOutAtItsDeadline() {
        OutboundAttempt sent = attempt(1, 10);
        OutboundAttempt unsent = attempt(2, 20);
        timeouts.put(sent);
        timeouts.put(unsent);
        sent.markSent(new PooledConnection(null, 0));
        timeouts.put(sent);
        assertEquals(unsent, timeouts.pollDue(20));
        assertNull(timeouts.pollDue(109));
        assertEquals(sent, timeouts.pollDue(110));
        assertEquals(NO_TIMEOUT, timeouts.nextDueMicros());
    }
}
