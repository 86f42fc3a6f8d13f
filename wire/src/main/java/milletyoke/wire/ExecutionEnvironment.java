package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Provides clocks, timers, a network and event loop drivers to the product's components. In
 * production these are the machine's own ({@link SocketEnvironment}); in the simulation they run on
 * a single seeded event queue in virtual time. All times are in microseconds.
 */
public interface ExecutionEnvironment {
    /** Returns the time of the monotonic clock. */
    long monotonicMicros();

    /** Returns the wall-clock time, which the start times of targets refer to. */
    long wallClockMicros();

    /**
     * Opens the network of one participant.
     *
     * @param name the participant's name in its hellos
     * @param threads number of I/O threads
     * @throws IOException if the sockets cannot be set up
     */
    Network openNetwork(String name, int threads, FrameObserver observer) throws IOException;

    /** Creates a timer executor; with a single thread, its tasks run sequentially. */
    ScheduledExecutorService newTimerExecutor(String name, int threads);

    /**
     * Returns whether time is virtual. If so, {@link #sleep} is the only permitted way to wait, and
     * tasks must not call it.
     */
    boolean isVirtual();

    /** Waits for the given time. */
    void sleep(long micros) throws InterruptedException;

    /**
     * Delays the frames that one participant sends to another, as in a network partition; only in
     * virtual time.
     *
     * @param attemptsOnly whether only attempts and their replies are delayed
     * @param micros duration of the partition
     */
    default void partition(String from, String to, boolean attemptsOnly, long micros) {
        throw new UnsupportedOperationException("sockets of this machine cannot be partitioned");
    }

    /** Moves the wall clock forward or back; only in virtual time. */
    default void adjustWallClock(long micros) {
        throw new UnsupportedOperationException(
                "the wall clock of this machine cannot be adjusted");
    }

    /**
     * Creates the driver that runs an event loop whenever the loop is woken up or due; returns null
     * if the loop must run on a thread of its own.
     */
    LoopDriver newLoopDriver(LoopTask task);

    /** An event loop that has no thread of its own. */
    interface LoopTask {
        /**
         * Runs one pass of the loop: processes all work that is due.
         *
         * @return the monotonic time at which the loop is due again unless it is woken up earlier;
         *     {@link Long#MAX_VALUE} for never
         */
        long runOnce();
    }

    /** Runs a {@link LoopTask}. */
    interface LoopDriver {
        /** Schedules a pass of the task as soon as possible. Any thread may call this. */
        void wakeUp();
    }
}
