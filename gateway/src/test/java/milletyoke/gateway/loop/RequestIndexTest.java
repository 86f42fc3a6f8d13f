package milletyoke.gateway.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the expiry order of tracked requests, and that removed ones take no memory. */
@Timeout(30)
class RequestIndexTest {
    private static final int PAYLOAD_BYTES = 60_000;

    /** Far more than the collector needs to find what is unreachable. */
    private static final int MAX_COLLECTIONS = 20;

    private final RequestIndex index = new RequestIndex();
    private final Connection client = new SilentClient();

    /** A client that is sent nothing. */
    private static final class SilentClient implements Connection {
        @Override
        public int id() {
            return 1;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean send(Frame frame) {
            return false;
        }

        @Override
        public void closeWithReason(String reason) {}

        @Override
        public void close(String reason) {}
    }

    private TrackedRequest add(long number, long expiresAtMicros) {
        Request request =
                Request.newBuilder()
                        .setNumber(number)
                        .setPayload(ByteString.copyFrom(new byte[PAYLOAD_BYTES]))
                        .build();
        TrackedRequest tracked =
                new TrackedRequest("1-" + number, client, request, 0, expiresAtMicros);
        index.add(tracked);
        return tracked;
    }

    /**
     * Guards against answered requests that are kept with their payloads behind one that waits, up
     * to its deadline: at a high rate they filled the heap.
     */
    @Test
    void aRemovedRequestIsNotReachableWhileAnEarlierOneWaits() {
        TrackedRequest waiting = add(1, 10);
        List<WeakReference<TrackedRequest>> removed = new ArrayList<>();
        for (int number = 2; number < 100; number++) {
            removed.add(new WeakReference<>(addAndRemove(number)));
        }
        for (int i = 0; i < MAX_COLLECTIONS && isAnyReachable(removed); i++) {
            System.gc();
        }
        assertFalse(isAnyReachable(removed));
        assertEquals(waiting, index.find("1-1"));
        assertEquals(1, index.size());
    }

    private static boolean isAnyReachable(List<WeakReference<TrackedRequest>> references) {
        return references.stream().anyMatch(reference -> reference.get() != null);
    }

    private TrackedRequest addAndRemove(long number) {
        TrackedRequest tracked = add(number, 10 + number);
        tracked.isResolved = true;
        assertTrue(index.remove(tracked));
        assertFalse(index.remove(tracked), "it is removed once");
        return tracked;
    }

    @Test
    void expiredRequestsArePolledInTheOrderOfTheirExpiry() {
        TrackedRequest late = add(1, 30);
        TrackedRequest early = add(2, 10);
        TrackedRequest alsoEarly = add(3, 10);
        assertNull(index.pollResolvedOrExpired(10));
        assertEquals(early, index.pollResolvedOrExpired(31));
        assertEquals(alsoEarly, index.pollResolvedOrExpired(31));
        assertEquals(late, index.pollResolvedOrExpired(31));
        assertNull(index.pollResolvedOrExpired(31));
        assertEquals(3, index.size(), "a polled request stays until it is removed");
    }
}
