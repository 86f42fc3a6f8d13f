package milletyoke.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes that many connections hold together, while a single connection may hold a large
 * part of them. Thread-safe.
 */
public final class SharedByteBudget {
    /**
     * The number of bytes of each body that are not counted: large enough for most bodies, and
     * small enough that the memory of all connections together is acceptable.
     */
    private static final int UNCOUNTED_BODY_BYTES = 2 * 1024;

    private final long capacityBytes;
    private final AtomicLong acquiredBytes = new AtomicLong();

    /**
     * Creates a budget that is entirely available.
     *
     * @param capacityBytes the maximum number of bytes acquired at any time
     */
    public SharedByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Returns how many bytes of a body count against a budget: those beyond its first 2 KiB. */
    public static int countedBytes(int bodyBytes) {
        return Math.max(0, bodyBytes - UNCOUNTED_BODY_BYTES);
    }

    /** Acquires the bytes; returns false, and acquires none, if fewer are available. */
    public boolean tryAcquire(long bytes) {
        if (acquiredBytes.addAndGet(bytes) > capacityBytes) {
            acquiredBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Returns acquired bytes to the budget. */
    public void release(long bytes) {
        acquiredBytes.addAndGet(-bytes);
    }
}
