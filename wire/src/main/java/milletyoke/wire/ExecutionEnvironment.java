package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What the product's components run on: clocks, timers, network, and what drives an event loop. In
 * service that is this machine ({@link SocketEnvironment}); in the simulation it is one seeded
 * queue of events in virtual time. All times are microseconds.
 */
public interface ExecutionEnvironment {
    /** The monotonic clock. */
    long monotonicMicros();

    /** The time of day, which the start times of targets refer to. */
    long wallClockMicros();

    /**
     * Opens one participant's network.
     *
     * @param name what the participant calls itself in its hellos
     * @param threads I/O threads
     * @throws IOException where the sockets cannot be set up
     */
    Network openNetwork(String name, int threads, FrameObserver observer) throws IOException;

    /** Creates timers; with one thread, their tasks run one after another. */
    ScheduledExecutorService newTimerExecutor(String name, int threads);

    /**
     * Whether time is virtual: nothing may then wait other than by {@link #sleep}, and that only
     * outside every task.
     */
    boolean isVirtual();

    /** Lets time pass. */
    void sleep(long micros) throws InterruptedException;

    /**
     * Delays what one participant sends to another, as a partitioned network does; only in virtual
     * time.
     *
     * @param attemptsOnly whether only attempts and their replies are delayed
     * @param micros for how long
     */
    default void partition(String from, String to, boolean attemptsOnly, long micros) {
        throw new UnsupportedOperationException("sockets of this machine cannot be cut");
    }

    /** Moves the time of day forward or back; only in virtual time. */
    default void adjustWallClock(long micros) {
        throw new UnsupportedOperationException(
                "the time of day of this machine is not ours to set");
    }

    /**
     * Creates what runs an event loop whenever it is woken up or due; null where the loop is to run
     * on a thread of its own.
     */
    LoopDriver newLoopDriver(LoopTask task);

    /** One pass of an event loop that has no thread of its own. */
    interface LoopTask {
        /**
         * Does what is due now.
         *
         * @return when the loop is due again if nothing wakes it up before; {@link Long#MAX_VALUE}
         *     for never
         */
        long runOnce();
    }

    /** Runs a {@link LoopTask}. */
    interface LoopDriver {
        /** Makes the task run soon. Any thread may call this. */
        void wakeUp();
    }
}
