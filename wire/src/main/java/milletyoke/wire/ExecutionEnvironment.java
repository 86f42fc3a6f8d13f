package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What the product's parts stand on: clock, timers, connections, and what runs a loop. In service
 * that is this machine ({@link SocketEnvironment}); in the lab it is one seeded queue of events in
 * virtual time. All times are microseconds.
 */
public interface ExecutionEnvironment {
    /** Never goes back. */
    long monotonicMicros();

    /** The time of day, on which starts of targets are told. */
    long wallClockMicros();

    Network openNetwork(String name, int threads, FrameObserver tap) throws IOException;

    /** Timers; tasks of one that has one thread come one after another. */
    ScheduledExecutorService newTimerExecutor(String name, int threads);

    /**
     * Whether time is made up: nothing may wait then but by {@link #sleep}, and that only outside
     * every task.
     */
    boolean isVirtual();

    /** Lets time pass. */
    void sleep(long micros) throws InterruptedException;

    /**
     * Holds back what one participant sends to another, as a cut network does; only where the world
     * is virtual.
     *
     * @param work relays and their replies alone
     * @param monotonicMicros for how long
     */
    default void partition(String from, String to, boolean work, long micros) {
        throw new UnsupportedOperationException("sockets of this machine cannot be cut");
    }

    /** Moves the time of day, forward or back; only where the world is virtual. */
    default void adjustWallClock(long micros) {
        throw new UnsupportedOperationException(
                "the time of day of this machine is not ours to set");
    }

    /**
     * Null where a loop has a thread of its own; else what runs its turns whenever it is woken or
     * due.
     */
    LoopDriver newLoopDriver(LoopTask turns);

    /** A loop without a thread. */
    interface LoopTask {
        /**
         * Takes what there is to do now; returns when it is due again if nothing wakes it before,
         * Long.MAX_VALUE for never.
         */
        long runOnce();
    }

    interface LoopDriver {
        void wakeUp();
    }
}
