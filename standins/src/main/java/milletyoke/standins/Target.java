package milletyoke.standins;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Role;

/**
 * A stand-in for a storage node. It executes attempts on a number of simulated cores with a bounded
 * queue, and can inject faults. It stores no data; executing an attempt only takes time. Frames
 * arrive on the network's threads, and attempts complete on the executor's. The target's own
 * monitor guards its state; nothing is sent while the monitor is held.
 */
public final class Target implements PeerListener {
    private static final String HOST = "127.0.0.1";
    private static final FrameLimits FRAME_LIMITS =
            new FrameLimits(4 << 20, 16 << 20, 5_000_000, 0);

    private final String id;
    private final int shard;
    private final TargetBehavior behavior;
    private final DelayedTasks tasks;
    private final FrameObserver observer;
    private final ExecutionListener executionListener;
    private final SplittableRandom random;
    private final ExecutionEnvironment environment;
    private final TargetFaults faults = new TargetFaults();

    private final AttemptProcessor processor;
    private final Set<PeerConnection> connections = new LinkedHashSet<>();
    private Network network;
    private int port;
    private long pausePeriodMicros;
    private long minPauseMicros;
    private long maxPauseMicros;

    /**
     * Creates a target on sockets and the real clock, without starting it.
     *
     * @param deduplicationCacheOf returns the idempotency keys executed in the target's
     *     deduplication scope, by request class; null for a class that is not deduplicated
     */
    public Target(
            String id,
            int shard,
            TargetBehavior behavior,
            long seed,
            ScheduledExecutorService executor,
            Function<String, DeduplicationCache> deduplicationCacheOf,
            FrameObserver observer,
            ExecutionListener executionListener) {
        this(
                id,
                shard,
                behavior,
                seed,
                executor,
                deduplicationCacheOf,
                observer,
                executionListener,
                new SocketEnvironment());
    }

    /** Creates a target in the given execution environment, without starting it. */
    public Target(
            String id,
            int shard,
            TargetBehavior behavior,
            long seed,
            ScheduledExecutorService executor,
            Function<String, DeduplicationCache> deduplicationCacheOf,
            FrameObserver observer,
            ExecutionListener executionListener,
            ExecutionEnvironment environment) {
        this.environment = environment;
        this.id = id;
        this.shard = shard;
        this.behavior = behavior;
        this.observer = observer;
        this.executionListener = executionListener;
        tasks = new DelayedTasks(executor);
        random = new SplittableRandom(seed);
        processor =
                new AttemptProcessor(
                        this,
                        id,
                        shard,
                        behavior,
                        faults,
                        random,
                        environment,
                        tasks,
                        deduplicationCacheOf,
                        executionListener);
    }

    /** Returns the target's id in the endpoint list. */
    public String id() {
        return id;
    }

    /** Returns the shard that the target stores. */
    public int shard() {
        return shard;
    }

    /** Returns the configured performance, which injected faults do not change. */
    public TargetBehavior behavior() {
        return behavior;
    }

    /** Returns the port of the current or latest incarnation; 0 before the first start. */
    public synchronized int port() {
        return port;
    }

    /** Returns whether the target is running: started, and not killed since. */
    public synchronized boolean isUp() {
        return processor.isUp();
    }

    /**
     * Starts the target at full capacity.
     *
     * @param listenPort 0 picks a free port
     * @throws IOException if the port cannot be opened
     */
    public synchronized void startAt(int listenPort) throws IOException {
        port = listenPort;
        start(false);
    }

    /**
     * Starts the target on its previous port, or on a free port at the first start.
     *
     * @param isCold whether the target has to warm up
     * @throws IOException if the port cannot be opened
     */
    public synchronized void start(boolean isCold) throws IOException {
        network = environment.openNetwork(id, 1, observer);
        Network.Listener listener = network.listen(HOST, port, Role.TARGET, this, FRAME_LIMITS);
        port = listener.port();
        processor.start(isCold);
        faults.setHanging(false);
        executionListener.note(
                id, Note.Kind.STARTED, isCold ? "cold" : "warm", behavior.unitsPerSecond());
        int incarnation = processor.incarnation();
        runPeriodically(
                incarnation, processor::performDeferredWork, behavior.deferredWorkPeriodMicros());
        runPeriodically(
                incarnation,
                () -> processor.stall(behavior.pauseMicros()),
                behavior.pausePeriodMicros());
    }

    /** Runs a task about once per period until this incarnation ends. */
    private void runPeriodically(int expectedIncarnation, Runnable task, long periodMicros) {
        if (periodMicros <= 0) {
            return;
        }
        tasks.schedule(
                () -> {
                    synchronized (this) {
                        if (processor.incarnation() == expectedIncarnation && processor.isUp()) {
                            task.run();
                            runPeriodically(expectedIncarnation, task, periodMicros);
                        }
                    }
                },
                drawIntervalMicros(periodMicros));
    }

    /** Draws an interval of 0.5 to 1.5 periods. */
    private long drawIntervalMicros(long periodMicros) {
        return (long) (periodMicros * (0.5 + random.nextDouble()));
    }

    /** Ends the target as SIGKILL would: connections are reset and all state is lost. */
    public void kill() {
        Network abandonedNetwork;
        synchronized (this) {
            if (!processor.isUp()) {
                return;
            }
            processor.stop();
            connections.clear();
            abandonedNetwork = network;
        }
        executionListener.note(id, Note.Kind.KILLED, "", 0);
        abandonedNetwork.abort();
    }

    /**
     * Starts or ends a hang: attempts are accepted, but those pending during the hang are never
     * answered.
     */
    public void setHanging(boolean isHanging) {
        faults.setHanging(isHanging);
        if (!isHanging) {
            synchronized (this) {
                processor.discardPending();
            }
        }
    }

    /** Multiplies the execution time of attempts by a factor; 1 is normal. */
    public void setSlowdownFactor(double factor) {
        faults.setSlowdownFactor(factor);
    }

    /** Fails a fraction of the attempts immediately; about half of those are executed. */
    public void setErrorFraction(double fraction) {
        faults.setErrorFraction(fraction);
    }

    /** Sends no reply to a fraction of the attempts; about half of those are executed. */
    public void setDroppedReplyFraction(double fraction) {
        faults.setDroppedReplyFraction(fraction);
    }

    /** Sets whether new connections are refused, so that the target cannot be reached. */
    public void setRefusingConnections(boolean isRefusing) {
        faults.setRefusingConnections(isRefusing);
    }

    /**
     * Stalls the target about once per period, each time for a random duration.
     *
     * @param periodMicros 0 ends the stalls
     */
    public synchronized void setPauses(long periodMicros, long minMicros, long maxMicros) {
        boolean wasPausing = pausePeriodMicros > 0;
        pausePeriodMicros = periodMicros;
        minPauseMicros = minMicros;
        maxPauseMicros = maxMicros;
        if (periodMicros > 0 && !wasPausing) {
            schedulePause(processor.incarnation());
        }
    }

    private void schedulePause(int expectedIncarnation) {
        tasks.schedule(
                () -> {
                    synchronized (this) {
                        if (processor.incarnation() == expectedIncarnation
                                && pausePeriodMicros > 0) {
                            long bound = Math.max(maxPauseMicros, minPauseMicros + 1);
                            processor.stall(random.nextLong(minPauseMicros, bound));
                            schedulePause(expectedIncarnation);
                        }
                    }
                },
                drawIntervalMicros(pausePeriodMicros));
    }

    /** Resets all connections; running attempts continue, and their replies are lost. */
    public void resetConnections() {
        List<PeerConnection> open;
        synchronized (this) {
            open = List.copyOf(connections);
            connections.clear();
        }
        open.forEach(PeerConnection::reset);
    }

    @Override
    public void onReady(PeerConnection connection) {
        if (!accept(connection)) {
            connection.refuse("no more connections");
        }
    }

    private synchronized boolean accept(PeerConnection connection) {
        if (connections.size() >= behavior.maxConnections() || faults.isRefusingConnections()) {
            return false;
        }
        connections.add(connection);
        if (behavior.connectionSetupMicros() > 0) {
            processor.stall(behavior.connectionSetupMicros());
        }
        return true;
    }

    @Override
    public void onFrame(PeerConnection connection, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case ATTEMPT -> onAttempt(connection, frame.getAttempt());
            case PROBE -> onProbe(connection, frame.getProbe().getNumber());
            case CANCEL_ATTEMPT ->
                    onCancelAttempt(connection, frame.getCancelAttempt().getNumber());
            default ->
                    throw new MalformedFrameException(
                            "a target takes relays, probes and cancels, not "
                                    + frame.getBodyCase());
        }
    }

    @Override
    public synchronized void onClosed(PeerConnection connection, String reason) {
        connections.remove(connection);
    }

    private void onAttempt(PeerConnection connection, Attempt attempt) {
        Outcome immediate;
        synchronized (this) {
            immediate = processor.admit(connection, attempt);
        }
        if (immediate != null) {
            processor.reply(connection, attempt, immediate);
        }
    }

    private synchronized void onCancelAttempt(PeerConnection connection, long number) {
        if (behavior.dropsCancelled()) {
            processor.dropQueued(connection, number);
        }
    }

    private void onProbe(PeerConnection connection, long number) {
        Load load;
        long delayMicros;
        synchronized (this) {
            if (!processor.isResponsive()) {
                return;
            }
            load = processor.load();
            delayMicros = processor.remainingStallMicros();
        }
        Frame reply = TargetReplies.probeReply(number, load);
        tasks.schedule(() -> connection.send(reply), delayMicros);
    }

    /**
     * Returns the largest fraction of the warm-up budget that was ever received within one overload
     * window; above 1 the target has collapsed.
     */
    public synchronized double warmUpBudgetUsed() {
        return processor.warmUpBudgetUsed();
    }
}
