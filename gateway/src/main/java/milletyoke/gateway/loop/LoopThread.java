package milletyoke.gateway.loop;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import milletyoke.wire.ExecutionEnvironment;

/**
 * Runs the event loop's turns on a daemon thread or, in virtual time, on the environment's {@link
 * ExecutionEnvironment.LoopDriver}. Also parks and wakes up the thread.
 */
final class LoopThread {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Runs the turns in virtual time; null in production. */
    private final ExecutionEnvironment.LoopDriver driver;

    /** Null if a driver runs the turns. */
    private final Thread thread;

    private volatile boolean isParked;

    /**
     * Creates the thread, or none if the environment has a driver.
     *
     * @param driver runs the turns in virtual time; null in production
     * @param body the thread's main function
     */
    LoopThread(ExecutionEnvironment.LoopDriver driver, Runnable body, String name) {
        this.driver = driver;
        thread = driver == null ? new Thread(body, name) : null;
    }

    /** Whether a driver runs the turns in virtual time. */
    boolean isDriven() {
        return driver != null;
    }

    /** Whether the caller is the loop itself, which must not block on its own progress. */
    boolean isCurrent() {
        return isDriven() || Thread.currentThread() == thread;
    }

    void start() {
        if (isDriven()) {
            driver.wakeUp();
        } else {
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Wakes up the loop if it is parked. Any thread. */
    void wakeUp() {
        if (isDriven()) {
            driver.wakeUp();
        } else if (isParked) {
            LockSupport.unpark(thread);
        }
    }

    /** Unparks the thread, whether it is parked or about to park. Any thread. */
    void unpark() {
        LockSupport.unpark(thread);
    }

    /**
     * Parks the thread until it is woken up or {@code micros} have passed. The condition is
     * evaluated after {@code isParked} is set, so that a concurrent wake-up is not lost.
     */
    void parkIf(BooleanSupplier mayPark, long micros) {
        isParked = true;
        if (mayPark.getAsBoolean() && micros > 0) {
            LockSupport.parkNanos(this, micros * NANOS_PER_MICRO);
        }
        isParked = false;
    }
}
