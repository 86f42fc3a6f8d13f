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
    private static final long START_MICROS = 1_000_000_000L;

    /**
     * What the network and the machines are like.
     *
     * @param minLatencyMicros of a frame from end to end, and {@code maxLatencyMicros}; drawn
     *     evenly for each (microseconds)
     * @param loopTurnMicros an initiator's loop is busy for so long with each turn (microseconds)
     */
    public record Physics(long minLatencyMicros, long maxLatencyMicros, long loopTurnMicros) {
        /** As loopback sockets of one machine were seen to be. */
        public static final Physics LOOPBACK = new Physics(30, 90, 30);

        public Physics {
            if (minLatencyMicros < 1 || maxLatencyMicros < minLatencyMicros || loopTurnMicros < 0) {
                throw new IllegalArgumentException(
                        "a travel of 1 us or more, least first, and a turn of 0 or more are"
                                + " expected, not "
                                + minLatencyMicros
                                + ", "
                                + maxLatencyMicros
                                + ", "
                                + loopTurnMicros);
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
    interface ScheduledEvent {
        /** False where it has happened or was called off before. */
        boolean cancel();
    }

    private final Physics physics;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(1 << 12);
    private final Map<Integer, SimulatedNetwork.BoundListener> listeners = new HashMap<>();
    private final List<Partition> partitions = new ArrayList<>();
    private long nowMicros = START_MICROS;
    private long wallClockOffsetMicros;
    private long nextOrder;
    private long eventCount;
    private long digest = 0x9E3779B97F4A7C15L;
    private int nextPeer;
    private int nextPort = 20_000;
    private boolean isRunning;

    public SimulatedEnvironment(long seed, Physics physics) {
        this.physics = physics;
        random = new SplittableRandom(seed);
    }

    // ---- Time ----

    @Override
    public long monotonicMicros() {
        return nowMicros;
    }

    @Override
    public long wallClockMicros() {
        return nowMicros + wallClockOffsetMicros;
    }

    @Override
    public void adjustWallClock(long micros) {
        wallClockOffsetMicros += micros;
    }

    @Override
    public boolean isVirtual() {
        return true;
    }

    /** Plays what happens until so much time has passed. */
    @Override
    public void sleep(long micros) {
        if (isRunning) {
            throw new IllegalStateException(
                    "something in the lab wanted to wait inside of an event; nothing could ever end"
                            + " that wait");
        }
        long until = nowMicros + Math.max(0, micros);
        isRunning = true;
        try {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event next = events.poll();
                nowMicros = next.at;
                if (next.task != null) {
                    eventCount++;
                    next.task.run();
                }
            }
            nowMicros = until;
        } finally {
            isRunning = false;
        }
    }

    /** Asks for something to happen at a time, or now where that is past. */
    ScheduledEvent schedule(long time, Runnable task) {
        Event event = new Event(Math.max(nowMicros, time), nextOrder++, task);
        events.add(event);
        return () -> {
            boolean was = event.task != null;
            event.task = null;
            return was;
        };
    }

    /** Events that have happened. */
    public long eventCount() {
        return eventCount;
    }

    /** Stands for all that travelled and when: equal for equal plays. */
    public long digest() {
        return digest;
    }

    void digest(long what) {
        long mixed = (digest ^ nowMicros) * 0xBF58476D1CE4E5B9L;
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
        return new VirtualLoopDriver(turns);
    }

    /** Runs a loop's turns: at once where it is woken, or as soon as its last turn is over. */
    private final class VirtualLoopDriver implements LoopDriver {
        private final LoopTask task;
        private long due = Long.MAX_VALUE;
        private long busyUntil;

        VirtualLoopDriver(LoopTask turns) {
            this.task = turns;
        }

        @Override
        public void wakeUp() {
            runAt(Math.max(nowMicros, busyUntil));
        }

        private void runAt(long time) {
            if (time < due) {
                due = time;
                schedule(time, () -> run(time));
            }
        }

        private void run(long time) {
            if (time != due) {
                return; // an earlier one was asked for since
            }
            due = Long.MAX_VALUE;
            long next = task.runOnce();
            busyUntil = nowMicros + physics.loopTurnMicros();
            if (next < Long.MAX_VALUE) {
                runAt(Math.max(next, busyUntil));
            }
        }
    }

    // ---- The network ----

    int nextPeerNumber() {
        return ++nextPeer;
    }

    int freePort() {
        while (listeners.containsKey(nextPort)) {
            nextPort++;
        }
        return nextPort++;
    }

    SimulatedNetwork.BoundListener listener(int port) {
        return listeners.get(port);
    }

    /** False where the port is taken. */
    boolean bind(int port, SimulatedNetwork.BoundListener listener) {
        return listeners.putIfAbsent(port, listener) == null;
    }

    void unbind(int port, SimulatedNetwork.BoundListener listener) {
        listeners.remove(port, listener);
    }

    long drawLatencyMicros() {
        return physics.minLatencyMicros()
                + (physics.maxLatencyMicros() > physics.minLatencyMicros()
                        ? random.nextLong(
                                physics.maxLatencyMicros() - physics.minLatencyMicros() + 1)
                        : 0);
    }

    /**
     * A one-way cut: what {@code from} sends to {@code to} waits until it heals, as TCP sends again
     * what was lost.
     */
    private record Partition(String from, String to, boolean work, long until) {}

    /** Where all is held, new connections do not come about in either direction. */
    @Override
    public void partition(String from, String to, boolean work, long micros) {
        partitions.removeIf(c -> c.until() <= nowMicros);
        partitions.add(new Partition(from, to, work, nowMicros + micros));
    }

    /** Until when a frame is held back; now where it is not. */
    long blockedUntil(String from, String to, boolean work) {
        long until = nowMicros;
        for (Partition c : partitions) {
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
