package milletyoke.standins;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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
 * Tells initiators which targets there are. What happens is known here late, by a lag drawn for
 * each change, and changes keep their order. A follower gets the whole list and then every change.
 */
public final class Discovery implements PeerListener {
    private final ExecutionEnvironment environment;
    private final Network network;
    private final Network.Listener listener;
    private final ScheduledExecutorService executor;
    private final SplittableRandom random;
    private final Map<String, milletyoke.wire.proto.Target> entries = new LinkedHashMap<>();
    private final Set<PeerConnection> watchers = new LinkedHashSet<>();
    private long revision = 1;
    private long minLagMicros, maxLagMicros;
    private long lastUpdateAtMicros;
    private boolean isUnavailable;
    private Set<String> hiddenIds = Set.of();

    /**
     * @param port 0 takes a free one
     */
    public Discovery(int port, long seed, ScheduledExecutorService clockwork, FrameObserver tap)
            throws IOException {
        this(port, seed, clockwork, tap, new SocketEnvironment());
    }

    public Discovery(
            int port,
            long seed,
            ScheduledExecutorService clockwork,
            FrameObserver tap,
            ExecutionEnvironment world)
            throws IOException {
        this.environment = world;
        this.executor = clockwork;
        random = new SplittableRandom(seed);
        network = world.openNetwork("discovery", 1, tap);
        listener =
                network.listen(
                        "127.0.0.1",
                        port,
                        Role.DISCOVERY,
                        this,
                        new FrameLimits(16 << 20, 64 << 20, 5_000_000, 0));
    }

    public int port() {
        return listener.port();
    }

    /** The clock on which starts are told (microseconds). */
    public long wallClockMicros() {
        return environment.wallClockMicros();
    }

    public static milletyoke.wire.proto.Target entry(
            Target target, String zone, Health health, long launched) {
        return milletyoke.wire.proto.Target.newBuilder()
                .setId(target.id())
                .setShard(target.shard())
                .setZone(zone)
                .setHealth(health)
                .setStartedAtMicros(launched)
                .setHost("127.0.0.1")
                .setPort(target.port())
                .build();
    }

    /** How late changes are told from now on (microseconds). */
    public synchronized void setUpdateLag(long least, long most) {
        minLagMicros = least;
        maxLagMicros = most;
    }

    /** A change that is so from now on; it is told after the lag. */
    public synchronized void scheduleUpdate(milletyoke.wire.proto.Target entry) {
        long now = environment.monotonicMicros();
        lastUpdateAtMicros =
                Math.max(
                        lastUpdateAtMicros,
                        now
                                + minLagMicros
                                + (maxLagMicros > minLagMicros
                                        ? random.nextLong(maxLagMicros - minLagMicros)
                                        : 0));
        executor.schedule(() -> update(entry), lastUpdateAtMicros - now, TimeUnit.MICROSECONDS);
    }

    /** What is known from the outset. */
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

    /** Leaves some targets out of the list, as if they were gone, until all are shown again. */
    public synchronized void hide(Set<String> targets) {
        hiddenIds = Set.copyOf(targets);
        revision++;
        broadcast(Scope.REPLACE, visibleEntries());
    }

    private List<milletyoke.wire.proto.Target> visibleEntries() {
        return entries.values().stream().filter(t -> !hiddenIds.contains(t.getId())).toList();
    }

    /** Drops every subscription and serves none until it is available again. */
    public synchronized void setUnavailable(boolean on) {
        isUnavailable = on;
        if (on) {
            broadcast(Scope.UNAVAILABLE, List.of());
            watchers.clear();
        }
    }

    private void broadcast(Scope scope, List<milletyoke.wire.proto.Target> targets) {
        Frame frame = endpointListFrame(scope, targets);
        List.copyOf(watchers).forEach(f -> f.send(frame));
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
    public void onReady(PeerConnection peer) {
        // it asks when it wants the list
    }

    @Override
    public synchronized void onFrame(PeerConnection peer, Frame frame)
            throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.WATCH) {
            throw new MalformedFrameException(
                    "discovery is asked to be followed, not " + frame.getBodyCase());
        }
        if (isUnavailable) {
            peer.send(endpointListFrame(Scope.UNAVAILABLE, List.of()));
        } else {
            watchers.add(peer);
            peer.send(endpointListFrame(Scope.REPLACE, visibleEntries()));
        }
    }

    @Override
    public synchronized void onClosed(PeerConnection peer, String why) {
        watchers.remove(peer);
    }

    public void stop() {
        network.close();
    }
}
