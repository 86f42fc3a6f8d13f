package milletyoke.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that many connections share, so that each may need much while all together stay bounded.
 * Any thread may ask.
 */
public final class SharedByteBudget {
    private final long capacityBytes;
    private final AtomicLong acquiredBytes = new AtomicLong();

    /**
     * @param capacityBytes bytes
     */
    public SharedByteBudget(long most) {
        this.capacityBytes = most;
    }

    /** Takes so many bytes, or none and answers false. */
    public boolean tryAcquire(long bytes) {
        if (acquiredBytes.addAndGet(bytes) > capacityBytes) {
            acquiredBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    public void release(long bytes) {
        acquiredBytes.addAndGet(-bytes);
    }
}
