package milletyoke.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A number of bytes that many connections share, so that each may need much memory while all
 * together stay bounded. Safe for use by any thread.
 */
public final class SharedByteBudget {
    private final long capacityBytes;
    private final AtomicLong acquiredBytes = new AtomicLong();

    /**
     * Creates a budget of which nothing is acquired.
     *
     * @param capacityBytes the most bytes that may be acquired at a time
     */
    public SharedByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Acquires all of the bytes, or none and returns false. */
    public boolean tryAcquire(long bytes) {
        if (acquiredBytes.addAndGet(bytes) > capacityBytes) {
            acquiredBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Gives back bytes that were acquired. */
    public void release(long bytes) {
        acquiredBytes.addAndGet(-bytes);
    }
}
