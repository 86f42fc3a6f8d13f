package milletyoke.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tells whether bytes that were handed to the operating system may still be on their way to the
 * peer, where a reset would destroy them. Thread-safe.
 */
final class OutputDelivery {
    /**
     * The number of bytes that the receive buffer of any peer takes: the smallest buffer that Linux
     * sets up takes 1,152.
     */
    private static final int MIN_RECEIVE_BUFFER_BYTES = 1_024;

    /** How long bytes for which the receive buffer has room may be on their way. */
    private static final long TRANSIT_MICROS = 50_000;

    /** How long a peer may take to make room in its receive buffer. */
    private static final long READ_MICROS = 2_000_000;

    /** Number of bytes that were written since the peer sent anything. */
    private final AtomicInteger unconfirmedBytes = new AtomicInteger();

    private volatile long lastWriteMicros;

    /** Called before bytes are written. */
    void writing(int bytes, long nowMicros) {
        lastWriteMicros = nowMicros;
        unconfirmedBytes.addAndGet(bytes);
    }

    /** Called when the peer sent something, which it does after it received the last message. */
    void confirmed() {
        unconfirmedBytes.set(0);
    }

    boolean mayBeIncomplete(long nowMicros) {
        int bytes = unconfirmedBytes.get();
        if (bytes == 0) {
            return false;
        }
        long maxMicros = bytes > MIN_RECEIVE_BUFFER_BYTES ? READ_MICROS : TRANSIT_MICROS;
        return nowMicros - lastWriteMicros < maxMicros;
    }
}
