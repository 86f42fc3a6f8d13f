package milletyoke.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.Scope;

/**
 * A stand-in for discovery. Each watcher receives the full endpoint list first and every update
 * after that. Updates can be delayed by a random lag each, but stay in order. Thread-safe.
 */
public final class Discovery implements PeerListener {
    private static final String HOST = "127.0.0.1";
    private static final FrameLimits FRAME_LIMITS =
            new FrameLimits(16 << 20, 64 << 20, 5_000_000, 0);

    private final ExecutionEnvironment environment;
    private final Network network;
    private final Network.Listener listener;
    private final DelayedTasks tasks;
    private final SplittableRandom random;
    private final Map<String, milletyoke.wire.proto.Target> entries = new LinkedHashMap<>();
    private final Set<PeerConnection> watchers = new LinkedHashSet<>();
    private long revision = 1;
    private long minLagMicros;
    private long maxLagMicros;
    private long lastUpdateAtMicros;
    private boolean isUnavailable;
    private Set<String> hiddenIds = Set.of();

    /**
     * Starts discovery on a socket and the real clock.
     *
     * @param port 0 picks a free port
     * @param seed of the random update lags
     * @throws IOException if the port cannot be opened
     */
    public Discovery(int port, long seed, ScheduledExecutorService executor, FrameObserver observer)
            throws IOException {
        this(port, seed, executor, observer, new SocketEnvironment());
    }

    /**
     * Starts discovery in an environment.
     *
     * @param port 0 picks a free port
     * @param seed of the random update lags
     * @throws IOException if the port cannot be opened
     */
    public Discovery(
            int port,
            long seed,
            ScheduledExecutorService executor,
            FrameObserver observer,
            ExecutionEnvironment environment)
            throws IOException {
        this.environment = environment;
        tasks = new DelayedTasks(executor);
        random = new SplittableRandom(seed);
        network = environment.openNetwork("discovery", 1, observer);
        listener = network.listen(HOST, port, Role.DISCOVERY, this, FRAME_LIMITS);
    }

    /** Returns the port that discovery listens on. */
    public int port() {
        return listener.port();
    }

    /** Returns the time on the clock of the endpoint list's start times (microseconds). */
    public long wallClockMicros() {
        return environment.wallClockMicros();
    }

    /**
     * Builds the endpoint list entry of a target.
     *
     * @param startedAtMicros on the clock of {@link #wallClockMicros}
     */
    public static milletyoke.wire.proto.Target entry(
            Target target, String zone, Health health, long startedAtMicros) {
        return milletyoke.wire.proto.Target.newBuilder()
                .setId(target.id())
                .setShard(target.shard())
                .setZone(zone)
                .setHealth(health)
                .setStartedAtMicros(startedAtMicros)
                .setHost(HOST)
                .setPort(target.port())
                .build();
    }

    /** Sets the range of the random lag of later updates (microseconds). */
    public synchronized void setUpdateLag(long minMicros, long maxMicros) {
        minLagMicros = minMicros;
        maxLagMicros = maxMicros;
    }

    /** Publishes an update after a random lag, and after all updates scheduled earlier. */
    public synchronized void scheduleUpdate(milletyoke.wire.proto.Target entry) {
        long now = environment.monotonicMicros();
        lastUpdateAtMicros = Math.max(lastUpdateAtMicros, now + drawLagMicros());
        tasks.schedule(() -> update(entry), lastUpdateAtMicros - now);
    }

    private long drawLagMicros() {
        long extraMicros =
                maxLagMicros > minLagMicros ? random.nextLong(maxLagMicros - minLagMicros) : 0;
        return minLagMicros + extraMicros;
    }

    /** Publishes an update immediately; an entry whose health is REMOVED is deleted. */
    public synchronized void update(milletyoke.wire.proto.Target entry) {
        revision++;
        if (entry.getHealth() == Health.REMOVED) {
            entries.remove(entry.getId());
        } else {
            entries.put(entry.getId(), entry);
        }
        if (!hiddenIds.contains(entry.getId())) {
            broadcast(Scope.UPDATE, List.of(entry));
        }
    }

    /**
     * Omits some targets from the list, as if they had been removed.
     *
     * @param targetIds empty to list all targets again
     */
    public synchronized void hide(Set<String> targetIds) {
        hiddenIds = Set.copyOf(targetIds);
        revision++;
        broadcast(Scope.REPLACE, visibleEntries());
    }

    private List<milletyoke.wire.proto.Target> visibleEntries() {
        return entries.values().stream()
                .filter(entry -> !hiddenIds.contains(entry.getId()))
                .toList();
    }

    /** Sets whether discovery is unavailable; if so, all watches end and new ones are refused. */
    public synchronized void setUnavailable(boolean isUnavailable) {
        this.isUnavailable = isUnavailable;
        if (isUnavailable) {
            broadcast(Scope.UNAVAILABLE, List.of());
            watchers.clear();
        }
    }

    private void broadcast(Scope scope, List<milletyoke.wire.proto.Target> targets) {
        Frame frame = endpointListFrame(scope, targets);
        List.copyOf(watchers).forEach(watcher -> watcher.send(frame));
    }

    private Frame endpointListFrame(Scope scope, List<milletyoke.wire.proto.Target> targets) {
        return Frame.newBuilder()
                .setEndpointList(
                        EndpointList.newBuilder()
                                .setRevision(revision)
                                .setScope(scope)
                                .setNow(wallClockMicros())
                                .addAllTarget(targets))
                .build();
    }

    @Override
    public void onReady(PeerConnection connection) {
        // Nothing is sent before the peer sends a watch.
    }

    @Override
    public synchronized void onFrame(PeerConnection connection, Frame frame)
            throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.WATCH) {
            throw new MalformedFrameException(
                    "discovery is asked to be followed, not " + frame.getBodyCase());
        }
        if (isUnavailable) {
            connection.send(endpointListFrame(Scope.UNAVAILABLE, List.of()));
        } else {
            watchers.add(connection);
            connection.send(endpointListFrame(Scope.REPLACE, visibleEntries()));
        }
    }

    @Override
    public synchronized void onClosed(PeerConnection connection, String reason) {
        watchers.remove(connection);
    }

    /** Closes all connections and the port. */
    public void stop() {
        network.close();
    }
}
