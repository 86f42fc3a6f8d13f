package milletyoke.simulation.environment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.Network;

/**
 * Virtual time: one queue of events, those of one moment in the order in which they were asked for.
 * Everything of the product runs in it as in service, on the one thread that calls {@link #sleep};
 * the same seed plays the same events. Not for use by several threads; any number of worlds may run
 * side by side.
 */
public final class SimulatedEnvironment implements ExecutionEnvironment {
    /** Some moment; only differences matter. */
    private static final long BEGINNING = 1_000_000_000L;

    /**
     * What the network and the machines are like.
     *
     * @param leastTravel of a frame from end to end, and {@code mostTravel}; drawn evenly for each
     *     (microseconds)
     * @param turn an initiator's loop is busy for so long with each turn (microseconds)
     */
    public record Physics(long leastTravel, long mostTravel, long turn) {
        /** As loopback sockets of one machine were seen to be. */
        public static final Physics LOOPBACK = new Physics(30, 90, 30);

        public Physics {
            if (leastTravel < 1 || mostTravel < leastTravel || turn < 0) {
                throw new IllegalArgumentException(
                        "a travel of 1 us or more, least first, and a turn of 0 or more are"
                                + " expected, not "
                                + leastTravel
                                + ", "
                                + mostTravel
                                + ", "
                                + turn);
            }
        }
    }

    private static final class Event implements Comparable<Event> {
        final long at;
        final long order;
        Runnable task;

        Event(long at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Something that was asked for and can still be called off. */
    interface Pending {
        /** False where it has happened or was called off before. */
        boolean callOff();
    }

    private final Physics physics;
    private final SplittableRandom chance;
    private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
    private final Map<Integer, SimulatedNetwork.Bound> listeners = new HashMap<>();
    private final List<Cut> cuts = new ArrayList<>();
    private long now = BEGINNING;
    private long stepped;
    private long asked;
    private long happened;
    private long digest = 0x9E3779B97F4A7C15L;
    private int nextPeer;
    private int nextPort = 20_000;
    private boolean inside;

    public SimulatedEnvironment(long seed, Physics physics) {
        this.physics = physics;
        chance = new SplittableRandom(seed);
    }

    // ---- Time ----

    @Override
    public long monotonicMicros() {
        return now;
    }

    @Override
    public long wallClockMicros() {
        return now + stepped;
    }

    @Override
    public void adjustWallClock(long micros) {
        stepped += micros;
    }

    @Override
    public boolean isVirtual() {
        return true;
    }

    /** Plays what happens until so much time has passed. */
    @Override
    public void sleep(long micros) {
        if (inside) {
            throw new IllegalStateException(
                    "something in the lab wanted to wait inside of an event; nothing could ever end"
                            + " that wait");
        }
        long until = now + Math.max(0, micros);
        inside = true;
        try {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event next = events.poll();
                now = next.at;
                if (next.task != null) {
                    happened++;
                    next.task.run();
                }
            }
            now = until;
        } finally {
            inside = false;
        }
    }

    /** Asks for something to happen at a time, or now where that is past. */
    Pending at(long time, Runnable task) {
        Event event = new Event(Math.max(now, time), asked++, task);
        events.add(event);
        return () -> {
            boolean was = event.task != null;
            event.task = null;
            return was;
        };
    }

    /** Events that have happened. */
    public long happened() {
        return happened;
    }

    /** Stands for all that travelled and when: equal for equal plays. */
    public long digest() {
        return digest;
    }

    void digest(long what) {
        long mixed = (digest ^ now) * 0xBF58476D1CE4E5B9L;
        digest = (mixed ^ mixed >>> 29 ^ what) * 0x94D049BB133111EBL;
    }

    // ---- Parts ----

    @Override
    public Network openNetwork(String name, int threads, FrameObserver tap) {
        return new SimulatedNetwork(this, name, tap);
    }

    @Override
    public ScheduledExecutorService newTimerExecutor(String name, int threads) {
        return new VirtualTimeExecutor(this, name);
    }

    @Override
    public LoopDriver newLoopDriver(LoopTask turns) {
        return new LabDrive(turns);
    }

    /** Runs a loop's turns: at once where it is woken, or as soon as its last turn is over. */
    private final class LabDrive implements LoopDriver {
        private final LoopTask turns;
        private long due = Long.MAX_VALUE;
        private long busyUntil;

        LabDrive(LoopTask turns) {
            this.turns = turns;
        }

        @Override
        public void wakeUp() {
            runAt(Math.max(now, busyUntil));
        }

        private void runAt(long time) {
            if (time < due) {
                due = time;
                at(time, () -> run(time));
            }
        }

        private void run(long time) {
            if (time != due) {
                return; // an earlier one was asked for since
            }
            due = Long.MAX_VALUE;
            long next = turns.runOnce();
            busyUntil = now + physics.turn();
            if (next < Long.MAX_VALUE) {
                runAt(Math.max(next, busyUntil));
            }
        }
    }

    // ---- The network ----

    int peerNumber() {
        return ++nextPeer;
    }

    int freePort() {
        while (listeners.containsKey(nextPort)) {
            nextPort++;
        }
        return nextPort++;
    }

    SimulatedNetwork.Bound listener(int port) {
        return listeners.get(port);
    }

    /** False where the port is taken. */
    boolean bind(int port, SimulatedNetwork.Bound listener) {
        return listeners.putIfAbsent(port, listener) == null;
    }

    void unbind(int port, SimulatedNetwork.Bound listener) {
        listeners.remove(port, listener);
    }

    long travel() {
        return physics.leastTravel()
                + (physics.mostTravel() > physics.leastTravel()
                        ? chance.nextLong(physics.mostTravel() - physics.leastTravel() + 1)
                        : 0);
    }

    /**
     * A one-way cut: what {@code from} sends to {@code to} waits until it heals, as TCP sends again
     * what was lost.
     */
    private record Cut(String from, String to, boolean work, long until) {}

    /** Where all is held, new connections do not come about in either direction. */
    @Override
    public void partition(String from, String to, boolean work, long micros) {
        cuts.removeIf(c -> c.until() <= now);
        cuts.add(new Cut(from, to, work, now + micros));
    }

    /** Until when a frame is held back; now where it is not. */
    long heldUntil(String from, String to, boolean work) {
        long until = now;
        for (Cut c : cuts) {
            if (c.until() > until
                    && c.from().equals(from)
                    && c.to().equals(to)
                    && (work || !c.work())) {
                until = c.until();
            }
        }
        return until;
    }
}
