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
 * A stand-in for discovery: it sends the endpoint list to everyone who watches it, and then every
 * update. Updates may be late, by a lag drawn for each, and keep their order. Thread-safe.
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
     * @param port 0 picks a free one
     * @param seed of the lags
     * @throws IOException if it cannot listen there
     */
    public Discovery(int port, long seed, ScheduledExecutorService executor, FrameObserver observer)
            throws IOException {
        this(port, seed, executor, observer, new SocketEnvironment());
    }

    /**
     * Starts discovery in an environment.
     *
     * @param port 0 picks a free one
     * @param seed of the lags
     * @throws IOException if it cannot listen there
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

    /** The port it listens at. */
    public int port() {
        return listener.port();
    }

    /** The clock of the start times in the endpoint list (microseconds). */
    public long wallClockMicros() {
        return environment.wallClockMicros();
    }

    /** The entry of a target, which started at a time of {@link #wallClockMicros}. */
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

    /** Sets how late updates are from now on (microseconds). */
    public synchronized void setUpdateLag(long minMicros, long maxMicros) {
        minLagMicros = minMicros;
        maxLagMicros = maxMicros;
    }

    /** Publishes an update after the lag, and not before an earlier one. */
    public synchronized void scheduleUpdate(milletyoke.wire.proto.Target entry) {
        long now = environment.monotonicMicros();
        lastUpdateAtMicros = Math.max(lastUpdateAtMicros, now + drawLagMicros());
        tasks.schedule(() -> update(entry), lastUpdateAtMicros - now);
    }

    private long drawLagMicros() {
        long drawn = maxLagMicros > minLagMicros ? random.nextLong(maxLagMicros - minLagMicros) : 0;
        return minLagMicros + drawn;
    }

    /** Publishes an update at once; an entry whose health is REMOVED is deleted. */
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
     * Leaves some targets out of the list, as if they were removed.
     *
     * @param targetIds an empty set shows all again
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

    /** Ends every watch and serves none until it is available again. */
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
        // The peer sends a watch when it wants the list.
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

    /** Closes its connections and its port. */
    public void stop() {
        network.close();
    }
}
