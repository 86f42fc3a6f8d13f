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
 * A stand-in for a storage node: it serves attempts with a number of cores and a bounded queue, and
 * shows faults on request. It stores nothing; its work is time. Frames arrive on the network's
 * threads, work ends on the executor's; one lock, the target itself, guards its state, and nothing
 * is sent while it is held.
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
     * Creates a target on sockets and the real clock; it is not started.
     *
     * @param deduplicationCacheOf the idempotency keys known to the target's deduplication scope,
     *     by request class; null for a class that is not deduplicated
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

    /** As the other constructor, in an environment. */
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

    /** Its name in the endpoint list. */
    public String id() {
        return id;
    }

    /** The shard that it holds. */
    public int shard() {
        return shard;
    }

    /** What it is like. */
    public TargetBehavior behavior() {
        return behavior;
    }

    /** The port it listens at, or did before it was killed; 0 before its first start. */
    public synchronized int port() {
        return port;
    }

    /** Whether it is started and not killed since. */
    public synchronized boolean isUp() {
        return processor.isUp();
    }

    /**
     * Starts it warm.
     *
     * @param listenPort 0 picks a free one
     * @throws IOException if it cannot listen there
     */
    public synchronized void startAt(int listenPort) throws IOException {
        port = listenPort;
        start(false);
    }

    /**
     * Starts it on the port that it had before, if it had one.
     *
     * @param isCold whether it must warm up
     * @throws IOException if it cannot listen there
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
        repeat(incarnation, processor::doDeferredWork, behavior.deferredWorkPeriodMicros());
        repeat(
                incarnation,
                () -> processor.stall(behavior.pauseMicros()),
                behavior.pausePeriodMicros());
    }

    /** Runs a task about once a period, for as long as this incarnation lives. */
    private void repeat(int ofIncarnation, Runnable task, long periodMicros) {
        if (periodMicros <= 0) {
            return;
        }
        tasks.schedule(
                () -> {
                    synchronized (this) {
                        if (processor.incarnation() == ofIncarnation && processor.isUp()) {
                            task.run();
                            repeat(ofIncarnation, task, periodMicros);
                        }
                    }
                },
                aboutOnce(periodMicros));
    }

    /** A delay of half a period to one and a half. */
    private long aboutOnce(long periodMicros) {
        return (long) (periodMicros * (0.5 + random.nextDouble()));
    }

    /** Ends it as SIGKILL would: its connections are reset and its state is lost. */
    public void kill() {
        Network killed;
        synchronized (this) {
            if (!processor.isUp()) {
                return;
            }
            processor.stop();
            connections.clear();
            killed = network;
        }
        executionListener.note(id, Note.Kind.KILLED, "", 0);
        killed.abort();
    }

    /** Accepts attempts and answers none. What it accepted meanwhile stays unanswered. */
    public void setHanging(boolean isHanging) {
        faults.setHanging(isHanging);
        if (!isHanging) {
            synchronized (this) {
                processor.discardPending();
            }
        }
    }

    /** Multiplies the time of all work by a factor. */
    public void setSlowdownFactor(double factor) {
        faults.setSlowdownFactor(factor);
    }

    /** Fails a fraction of the attempts at once; half of those were executed. */
    public void setErrorFraction(double fraction) {
        faults.setErrorFraction(fraction);
    }

    /** Never answers a fraction of the attempts; half of those were executed. */
    public void setDroppedReplyFraction(double fraction) {
        faults.setDroppedReplyFraction(fraction);
    }

    /** Accepts connections without the protocol's greeting: the target cannot be reached. */
    public void setRefusingConnections(boolean isRefusing) {
        faults.setRefusingConnections(isRefusing);
    }

    /**
     * Stalls about once a period (microseconds), each time for a drawn duration.
     *
     * @param periodMicros 0 ends it
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

    private void schedulePause(int ofIncarnation) {
        tasks.schedule(
                () -> {
                    synchronized (this) {
                        if (processor.incarnation() == ofIncarnation && pausePeriodMicros > 0) {
                            long bound = Math.max(maxPauseMicros, minPauseMicros + 1);
                            processor.stall(random.nextLong(minPauseMicros, bound));
                            schedulePause(ofIncarnation);
                        }
                    }
                },
                aboutOnce(pausePeriodMicros));
    }

    /** Resets all of its connections; running work goes on, and its replies are lost. */
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
            delayMicros = processor.stallLeftMicros();
        }
        Frame reply = TargetReplies.probeReply(number, load);
        tasks.schedule(() -> connection.send(reply), delayMicros);
    }

    /**
     * The largest part of the warm-up budget that was ever sent to it within the overload window;
     * over 1 it collapsed.
     */
    public synchronized double warmUpBudgetUsed() {
        return processor.warmUpBudgetUsed();
    }
}
