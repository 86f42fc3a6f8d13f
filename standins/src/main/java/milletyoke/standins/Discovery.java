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
    private final ExecutionEnvironment world;
    private final Network wire;
    private final Network.Listener listener;
    private final ScheduledExecutorService clockwork;
    private final SplittableRandom chance;
    private final Map<String, milletyoke.wire.proto.Target> known = new LinkedHashMap<>();
    private final Set<PeerConnection> followers = new LinkedHashSet<>();
    private long version = 1;
    private long leastLag, mostLag;
    private long lastDue;
    private boolean unavailable;
    private Set<String> hidden = Set.of();

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
        this.world = world;
        this.clockwork = clockwork;
        chance = new SplittableRandom(seed);
        wire = world.openNetwork("discovery", 1, tap);
        listener =
                wire.listen(
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
    public long now() {
        return world.wallClockMicros();
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
    public synchronized void lag(long least, long most) {
        leastLag = least;
        mostLag = most;
    }

    /** A change that is so from now on; it is told after the lag. */
    public synchronized void change(milletyoke.wire.proto.Target entry) {
        long now = world.monotonicMicros();
        lastDue =
                Math.max(
                        lastDue,
                        now
                                + leastLag
                                + (mostLag > leastLag ? chance.nextLong(mostLag - leastLag) : 0));
        clockwork.schedule(() -> add(entry), lastDue - now, TimeUnit.MICROSECONDS);
    }

    /** What is known from the outset. */
    public synchronized void add(milletyoke.wire.proto.Target entry) {
        version++;
        if (entry.getHealth() == Health.REMOVED) {
            known.remove(entry.getId());
        } else {
            known.put(entry.getId(), entry);
        }
        if (!hidden.contains(entry.getId())) {
            tell(Scope.UPDATE, List.of(entry));
        }
    }

    /** Leaves some targets out of the list, as if they were gone, until all are shown again. */
    public synchronized void hide(Set<String> targets) {
        hidden = Set.copyOf(targets);
        version++;
        tell(Scope.REPLACE, shown());
    }

    private List<milletyoke.wire.proto.Target> shown() {
        return known.values().stream().filter(t -> !hidden.contains(t.getId())).toList();
    }

    /** Drops every subscription and serves none until it is available again. */
    public synchronized void unavailable(boolean on) {
        unavailable = on;
        if (on) {
            tell(Scope.UNAVAILABLE, List.of());
            followers.clear();
        }
    }

    private void tell(Scope scope, List<milletyoke.wire.proto.Target> targets) {
        Frame frame = frame(scope, targets);
        List.copyOf(followers).forEach(f -> f.send(frame));
    }

    private Frame frame(Scope scope, List<milletyoke.wire.proto.Target> targets) {
        return Frame.newBuilder()
                .setEndpointList(
                        EndpointList.newBuilder()
                                .setRevision(version)
                                .setScope(scope)
                                .setNow(now())
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
        if (unavailable) {
            peer.send(frame(Scope.UNAVAILABLE, List.of()));
        } else {
            followers.add(peer);
            peer.send(frame(Scope.REPLACE, shown()));
        }
    }

    @Override
    public synchronized void onClosed(PeerConnection peer, String why) {
        followers.remove(peer);
    }

    public void stop() {
        wire.close();
    }
}
