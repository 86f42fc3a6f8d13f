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
 * An execution environment in virtual time. One queue holds all events; events of the same time run
 * in the order in which they were scheduled. The production code runs unchanged, on the thread that
 * calls {@link #sleep}, and equal seeds produce equal sequences of events. Not thread-safe;
 * different environments may be used by different threads at the same time.
 */
public final class SimulatedEnvironment implements ExecutionEnvironment {
    /** Arbitrary start time; only differences of times are used. */
    private static final long START_MICROS = 1_000_000_000L;

    /**
     * Latencies of the network and of the event loops, in microseconds.
     *
     * @param minLatencyMicros lower bound of the one-way latency, which is drawn uniformly for each
     *     write to a connection
     * @param maxLatencyMicros upper bound of the one-way latency, inclusive
     * @param loopTurnMicros duration of one turn of an initiator's event loop
     */
    public record Timing(long minLatencyMicros, long maxLatencyMicros, long loopTurnMicros) {
        /** Latencies of loopback sockets on one machine. */
        public static final Timing LOOPBACK = new Timing(30, 90, 30);

        /**
         * Validates the ranges.
         *
         * @throws IllegalArgumentException if a value is out of range
         */
        public Timing {
            if (minLatencyMicros < 1 || maxLatencyMicros < minLatencyMicros || loopTurnMicros < 0) {
                throw new IllegalArgumentException(
                        "expected 1 <= minLatencyMicros <= maxLatencyMicros and"
                                + " loopTurnMicros >= 0, got "
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

    /** An event that can be cancelled until it runs. */
    interface ScheduledEvent {
        /** Cancels the event. Returns false if it has already run or been cancelled. */
        boolean cancel();
    }

    private final Timing timing;
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

    /**
     * Creates an environment at its start time, without any events.
     *
     * @param seed seed of the random latencies
     */
    public SimulatedEnvironment(long seed, Timing timing) {
        this.timing = timing;
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

    /** Runs all events that are due within the next {@code micros} of virtual time. */
    @Override
    public void sleep(long micros) {
        if (isRunning) {
            throw new IllegalStateException(
                    "sleep called while an event is running; virtual time advances only between"
                            + " events");
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

    /** Schedules a task at a time, or at the current time if that is later. */
    ScheduledEvent schedule(long time, Runnable task) {
        Event event = new Event(Math.max(nowMicros, time), nextOrder++, task);
        events.add(event);
        return () -> {
            boolean wasPending = event.task != null;
            event.task = null;
            return wasPending;
        };
    }

    /** Returns the number of events that were run. */
    public long eventCount() {
        return eventCount;
    }

    /** Returns a hash over every frame delivered and its time; equal for equal runs. */
    public long digest() {
        return digest;
    }

    /** Adds a value and the current time to the digest. */
    void updateDigest(long value) {
        long mixed = (digest ^ nowMicros) * 0xBF58476D1CE4E5B9L;
        digest = (mixed ^ mixed >>> 29 ^ value) * 0x94D049BB133111EBL;
    }

    // ---- Components ----

    @Override
    public Network openNetwork(String name, int threads, FrameObserver observer) {
        return new SimulatedNetwork(this, name, observer);
    }

    @Override
    public ScheduledExecutorService newTimerExecutor(String name, int threads) {
        return new VirtualTimeExecutor(this, name);
    }

    @Override
    public LoopDriver newLoopDriver(LoopTask task) {
        return new VirtualLoopDriver(task);
    }

    /**
     * Runs an event loop's turns, each when it is due or woken up but not before the last has
     * ended.
     */
    private final class VirtualLoopDriver implements LoopDriver {
        private final LoopTask task;
        private long due = Long.MAX_VALUE;
        private long busyUntil;

        VirtualLoopDriver(LoopTask task) {
            this.task = task;
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
                return; // superseded by an earlier turn
            }
            due = Long.MAX_VALUE;
            long next = task.runOnce();
            busyUntil = nowMicros + timing.loopTurnMicros();
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

    /** Binds a port. Returns false if it is in use. */
    boolean bind(int port, SimulatedNetwork.BoundListener listener) {
        return listeners.putIfAbsent(port, listener) == null;
    }

    void unbind(int port, SimulatedNetwork.BoundListener listener) {
        listeners.remove(port, listener);
    }

    long drawLatencyMicros() {
        return timing.minLatencyMicros()
                + (timing.maxLatencyMicros() > timing.minLatencyMicros()
                        ? random.nextLong(timing.maxLatencyMicros() - timing.minLatencyMicros() + 1)
                        : 0);
    }

    /**
     * A partition in one direction. Frames from {@code from} to {@code to} are delayed until it
     * ends, as TCP retransmits lost segments.
     *
     * @param attemptsOnly whether only attempts and their replies are delayed
     * @param until end of the partition, in microseconds of virtual time
     */
    private record Partition(String from, String to, boolean attemptsOnly, long until) {}

    /**
     * Delays frames; unless only attempts are delayed, also new connections in either direction.
     */
    @Override
    public void partition(String from, String to, boolean attemptsOnly, long micros) {
        partitions.removeIf(partition -> partition.until() <= nowMicros);
        partitions.add(new Partition(from, to, attemptsOnly, nowMicros + micros));
    }

    /**
     * Returns the time until which a frame is delayed, or the current time if no partition applies.
     *
     * @param isAttempt whether the frames are attempts or their replies
     */
    long blockedUntil(String from, String to, boolean isAttempt) {
        long until = nowMicros;
        for (Partition partition : partitions) {
            if (partition.until() > until
                    && partition.from().equals(from)
                    && partition.to().equals(to)
                    && (isAttempt || !partition.attemptsOnly())) {
                until = partition.until();
            }
        }
        return until;
    }
}
