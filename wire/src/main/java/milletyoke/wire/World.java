package milletyoke.wire;

import java.io.IOException;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What the product's parts stand on: clock, timers, connections, and what runs a loop. In service
 * that is this machine ({@link Sockets}); in the lab it is one seeded queue of events in virtual
 * time. All times are microseconds.
 */
public interface World {
    /** Never goes back. */
    long micros();

    /** The time of day, on which starts of targets are told. */
    long timeOfDay();

    Net net(String name, int threads, Tap tap) throws IOException;

    /** Timers; tasks of one that has one thread come one after another. */
    ScheduledExecutorService clockwork(String name, int threads);

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
     * @param micros for how long
     */
    default void cut(String from, String to, boolean work, long micros) {
        throw new UnsupportedOperationException("sockets of this machine cannot be cut");
    }

    /** Moves the time of day, forward or back; only where the world is virtual. */
    default void stepClock(long micros) {
        throw new UnsupportedOperationException(
                "the time of day of this machine is not ours to set");
    }

    /**
     * Null where a loop has a thread of its own; else what runs its turns whenever it is woken or
     * due.
     */
    Drive drive(Turns turns);

    /** A loop without a thread. */
    interface Turns {
        /**
         * Takes what there is to do now; returns when it is due again if nothing wakes it before,
         * Long.MAX_VALUE for never.
         */
        long advance();
    }

    interface Drive {
        void wakeUp();
    }
}
