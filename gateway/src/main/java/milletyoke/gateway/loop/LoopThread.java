package milletyoke.gateway.loop;

import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import milletyoke.wire.ExecutionEnvironment;

/**
 * What runs the event loop's turns: a daemon thread in service, or the environment's {@link
 * ExecutionEnvironment.LoopDriver} where time is virtual. Also puts the thread to sleep and wakes
 * it up.
 */
final class LoopThread {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Runs the turns where there is no thread; null in service. */
    private final ExecutionEnvironment.LoopDriver driver;

    /** Null where a driver runs the turns. */
    private final Thread thread;

    private volatile boolean isParked;

    /**
     * Creates a thread, or none where the environment has a driver.
     *
     * @param driver null in service
     * @param body what the thread runs
     */
    LoopThread(ExecutionEnvironment.LoopDriver driver, Runnable body, String name) {
        this.driver = driver;
        thread = driver == null ? new Thread(body, name) : null;
    }

    /** Whether a driver runs the turns in virtual time. */
    boolean isDriven() {
        return driver != null;
    }

    /** Whether the caller is the loop itself, which must not wait for its own progress. */
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

    /** Ends the loop's sleep where it sleeps. Any thread. */
    void wakeUp() {
        if (isDriven()) {
            driver.wakeUp();
        } else if (isParked) {
            LockSupport.unpark(thread);
        }
    }

    /** Unparks the thread whether it sleeps or is about to. Any thread. */
    void unpark() {
        LockSupport.unpark(thread);
    }

    /**
     * Sleeps until woken up, for {@code micros} at most. The condition is evaluated after this
     * thread counts as parked, so that a wake-up between the two is not lost.
     */
    void parkIf(BooleanSupplier mayPark, long micros) {
        isParked = true;
        if (mayPark.getAsBoolean() && micros > 0) {
            LockSupport.parkNanos(this, micros * NANOS_PER_MICRO);
        }
        isParked = false;
    }
}
