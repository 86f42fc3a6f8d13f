package milletyoke.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that many connections share, so that each may need much while all together stay bounded.
 * Any thread may ask.
 */
public final class SharedByteBudget {
    private final long most;
    private final AtomicLong taken = new AtomicLong();

    /**
     * @param most bytes
     */
    public SharedByteBudget(long most) {
        this.most = most;
    }

    /** Takes so many bytes, or none and answers false. */
    public boolean tryAcquire(long bytes) {
        if (taken.addAndGet(bytes) > most) {
            taken.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    public void release(long bytes) {
        taken.addAndGet(-bytes);
    }
}
