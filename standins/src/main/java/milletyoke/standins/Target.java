package milletyoke.standins;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.ProbeReply;
import milletyoke.wire.proto.Role;

/**
 * A storage node of our own writing: serves relays with cores, a waiting room and faults to order.
 * It keeps no data; work is time. One lock guards its state, and no call to a socket is made under
 * it.
 */
public final class Target implements PeerListener {
    private final String id;
    private final int shard;
    private final TargetBehavior nature;
    private final ScheduledExecutorService clockwork;
    private final Function<String, DeduplicationCache> marksOf;
    private final FrameObserver tap;
    private final ExecutionListener witness;
    private final SplittableRandom chance;

    private final ExecutionEnvironment world;
    private Network wire;
    private Network.Listener listener;
    private int port;
    private int life;
    private boolean up;
    private long startedAt;
    private boolean cold;

    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<String> extents = new ArrayDeque<>();
    private final ArrayDeque<long[]> coldSent = new ArrayDeque<>();
    private final Set<PeerConnection> peers = new LinkedHashSet<>();
    private double coldUnits;
    private double unitsDone;
    private double warmUpBudgetUsed;
    private double putOffWork;
    private long stillUntil;

    private volatile boolean hangs;
    private volatile boolean fallen;
    private volatile boolean refuses;
    private volatile double slow = 1;
    private volatile double errors;
    private volatile double dropsReplies;
    private volatile long pauseEvery, pauseLeast, pauseMost;

    private record Job(PeerConnection peer, Attempt relay, long came, int life) {}

    /**
     * @param marksOf the marks its group knows, by category; null for a category whose repeats are
     *     not dropped
     */
    public Target(
            String id,
            int shard,
            TargetBehavior nature,
            long seed,
            ScheduledExecutorService clockwork,
            Function<String, DeduplicationCache> marksOf,
            FrameObserver tap,
            ExecutionListener witness) {
        this(id, shard, nature, seed, clockwork, marksOf, tap, witness, new SocketEnvironment());
    }

    /**
     * @param world that it lives in
     */
    public Target(
            String id,
            int shard,
            TargetBehavior nature,
            long seed,
            ScheduledExecutorService clockwork,
            Function<String, DeduplicationCache> marksOf,
            FrameObserver tap,
            ExecutionListener witness,
            ExecutionEnvironment world) {
        this.world = world;
        this.id = id;
        this.shard = shard;
        this.nature = nature;
        this.clockwork = clockwork;
        this.marksOf = marksOf;
        this.tap = tap;
        this.witness = witness;
        chance = new SplittableRandom(seed);
    }

    public String id() {
        return id;
    }

    public int shard() {
        return shard;
    }

    public TargetBehavior nature() {
        return nature;
    }

    public synchronized int port() {
        return port;
    }

    public synchronized boolean isUp() {
        return up;
    }

    // ---- Its life ----

    /** Starts it warm at a port; 0 takes a free one. */
    public synchronized void startAt(int at) throws IOException {
        port = at;
        start(false);
    }

    /**
     * Starts it, on the port it had before if it had one. @param fromCold whether it must warm up
     */
    public synchronized void start(boolean fromCold) throws IOException {
        wire = world.openNetwork(id, 1, tap);
        listener =
                wire.listen(
                        "127.0.0.1",
                        port,
                        Role.TARGET,
                        this,
                        new FrameLimits(4 << 20, 16 << 20, 5_000_000, 0));
        port = listener.port();
        life++;
        up = true;
        cold = fromCold;
        startedAt = world.monotonicMicros();
        fallen = false;
        hangs = false;
        coldUnits = 0;
        unitsDone = 0;
        coldSent.clear();
        witness.note(id, Note.Kind.STARTED, cold ? "cold" : "warm", nature.capacity());
        tick(life, this::doPutOff, nature.putOffEvery());
        tick(life, this::pauseOfOwn, nature.pauseEvery());
    }

    private void tick(int ofLife, Runnable task, long every) {
        if (every > 0) {
            long in = (long) (every * (0.5 + chance.nextDouble()));
            clockwork.schedule(
                    () -> {
                        synchronized (this) {
                            if (life != ofLife || !up) {
                                return;
                            }
                            task.run();
                            tick(ofLife, task, every);
                        }
                    },
                    in,
                    TimeUnit.MICROSECONDS);
        }
    }

    /** Ends it as a kill would: its connections are reset and what it held is forgotten. */
    public void kill() {
        Network old;
        synchronized (this) {
            if (!up) {
                return;
            }
            up = false;
            life++;
            waiting.clear();
            running.clear();
            extents.clear();
            peers.clear();
            putOffWork = 0;
            old = wire;
        }
        witness.note(id, Note.Kind.KILLED, "", 0);
        old.abort();
    }

    // ---- Faults to order; each stays until it is taken back ----

    /** Takes accesses and answers none. What it took meanwhile stays unanswered. */
    public void hang(boolean on) {
        hangs = on;
        if (!on) {
            synchronized (this) {
                waiting.clear();
                running.clear();
            }
        }
    }

    /** All work takes so many times as long. */
    public void slow(double factor) {
        slow = factor;
    }

    /** Quickly fails this part of what it gets; half of those were run. */
    public void errors(double part) {
        errors = part;
    }

    /** Never answers this part of what it gets; half of those were run. */
    public void dropsReplies(double part) {
        dropsReplies = part;
    }

    /** Stands still now and then; 0 ends it. Times are microseconds. */
    public synchronized void pauses(long every, long least, long most) {
        boolean was = pauseEvery > 0;
        pauseEvery = every;
        pauseLeast = least;
        pauseMost = most;
        if (every > 0 && !was) {
            pauseToOrder(life);
        }
    }

    private void pauseToOrder(int ofLife) {
        clockwork.schedule(
                () -> {
                    synchronized (this) {
                        if (life == ofLife && pauseEvery > 0) {
                            stand(chance.nextLong(pauseLeast, Math.max(pauseMost, pauseLeast + 1)));
                            pauseToOrder(ofLife);
                        }
                    }
                },
                (long) (pauseEvery * (0.5 + chance.nextDouble())),
                TimeUnit.MICROSECONDS);
    }

    /** Resets all of its connections; what runs goes on, and its answers are lost. */
    public void resetConnections() {
        List<PeerConnection> now;
        synchronized (this) {
            now = List.copyOf(peers);
            peers.clear();
        }
        now.forEach(PeerConnection::reset);
    }

    /** Accepts connections and says no hello: it cannot be reached, though its port is open. */
    public void refuse(boolean on) {
        refuses = on;
    }

    private void pauseOfOwn() {
        stand(nature.pause());
    }

    private void stand(long micros) {
        stillUntil = Math.max(stillUntil, world.monotonicMicros() + micros);
    }

    private void doPutOff() {
        long work = (long) (putOffWork / nature.speed() / nature.cores());
        putOffWork = 0;
        if (work > 0) {
            stand(work);
        }
    }

    // ---- Serving ----

    @Override
    public void onReady(PeerConnection peer) {
        boolean taken;
        synchronized (this) {
            taken = peers.size() < nature.connections() && !refuses;
            if (taken) {
                peers.add(peer);
            }
        }
        if (taken && nature.connecting() > 0) {
            synchronized (this) {
                stand(nature.connecting());
            }
        }
        if (!taken) {
            peer.refuse("no more connections");
        }
    }

    @Override
    public void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case ATTEMPT -> relay(peer, frame.getAttempt());
            case PROBE -> probe(peer, frame.getProbe().getNumber());
            case CANCEL_ATTEMPT -> cancel(peer, frame.getCancelAttempt().getNumber());
            default ->
                    throw new MalformedFrameException(
                            "a target takes relays, probes and cancels, not "
                                    + frame.getBodyCase());
        }
    }

    @Override
    public synchronized void onClosed(PeerConnection peer, String why) {
        peers.remove(peer);
    }

    private void relay(PeerConnection peer, Attempt relay) {
        Outcome atOnce;
        synchronized (this) {
            atOnce = take(peer, relay);
        }
        if (atOnce != null) {
            reply(peer, relay, atOnce);
        }
    }

    /**
     * The outcome where it is known at once; else null, and the access waits, runs, or is never
     * heard of again.
     */
    private Outcome take(PeerConnection peer, Attempt relay) {
        long now = world.monotonicMicros();
        press(now, relay.getUnits());
        if (hangs || fallen || !up) {
            return null;
        }
        if (relay.hasShard() && relay.getShard() != shard) {
            return Outcome.NOT_STARTED;
        }
        if (errors > 0 && chance.nextDouble() < errors) {
            if (chance.nextBoolean()) {
                effect(relay, now);
            }
            return Outcome.ERROR;
        }
        if (dropsReplies > 0 && chance.nextDouble() < dropsReplies) {
            if (chance.nextBoolean()) {
                effect(relay, now);
            }
            return null;
        }
        Job job = new Job(peer, relay, now, life);
        if (running.size() < nature.cores()) {
            begin(job, now);
        } else if (waiting.size() < nature.room()) {
            waiting.add(job);
        } else {
            return Outcome.OVERLOADED;
        }
        return null;
    }

    /**
     * A cold target that is sent more than it bears, for as long as that takes, falls over and
     * stays down.
     */
    private void press(long now, double units) {
        if (!cold || now > startedAt + nature.warm()) {
            return;
        }
        coldSent.addLast(new long[] {now, Double.doubleToLongBits(units)});
        coldUnits += units;
        while (coldSent.peekFirst()[0] <= now - nature.fall()) {
            coldUnits -= Double.longBitsToDouble(coldSent.removeFirst()[1]);
        }
        double bears = nature.tipMultiple() * nature.capacity() * warmth(now) * nature.fall() / 1e6;
        warmUpBudgetUsed = nature.fall() > 0 ? Math.max(warmUpBudgetUsed, coldUnits / bears) : 0;
        if (nature.fall() > 0 && coldUnits > bears && !fallen) {
            fallen = true;
            witness.note(id, Note.Kind.OVERLOAD_COLLAPSE, "", coldUnits / bears);
        }
    }

    private double warmth(long now) {
        double age =
                nature.warm() == 0 ? 1 : Math.min(1, (now - startedAt) / (double) nature.warm());
        age =
                nature.warmUnits() > 0
                        ? Math.min(1, Math.max(age, unitsDone / nature.warmUnits()))
                        : age;
        return cold ? nature.coldShare() + (1 - nature.coldShare()) * age : 1;
    }

    private void begin(Job job, long now) {
        Attempt r = job.relay();
        if (now > job.came() + r.getTimeLeftMicros()) {
            clockwork.execute(
                    () ->
                            reply(
                                    job.peer(),
                                    r,
                                    Outcome.NOT_STARTED)); // its time is up: it is not begun
            return;
        }
        running.add(job);
        if (!effect(r, now)) {
            clockwork.schedule(() -> finish(job), 200, TimeUnit.MICROSECONDS);
            return;
        }
        double work =
                r.getUnits()
                        * nature.unit()
                        * nature.work().factor(chance.nextDouble())
                        * (1 + nature.crowd() * waiting.size());
        if (!r.getExtent().isEmpty() && r.getAttemptNumber() == 0 && remembers(r.getExtent())) {
            work *= 1 - nature.extentSaves();
        }
        if (r.getWrite()) {
            putOffWork += work * nature.putOff();
            work *= 1 - nature.putOff();
        }
        long takes = (long) (work * slow / nature.speed() / warmth(now));
        clockwork.schedule(
                () -> finish(job),
                Math.max(takes, stillUntil - now + takes),
                TimeUnit.MICROSECONDS);
    }

    private boolean remembers(String extent) {
        boolean known = extents.remove(extent);
        extents.addLast(extent);
        if (extents.size() > nature.extents()) {
            extents.removeFirst();
        }
        return known;
    }

    /** Has the access's effect; false for a repeat that its mark gives away. */
    private boolean effect(Attempt r, long now) {
        DeduplicationCache marks = marksOf.apply(r.getRequestClass());
        boolean first = marks == null || marks.first(r.getIdempotencyKey(), now);
        witness.note(
                id,
                first ? Note.Kind.EXECUTED : Note.Kind.DEDUPLICATED,
                r.getIdempotencyKey() + " " + r.getRequestClass(),
                r.getAttemptNumber());
        return first;
    }

    private void finish(Job job) {
        synchronized (this) {
            long now = world.monotonicMicros();
            if (job.life() != life || hangs || fallen) {
                return;
            }
            if (now < stillUntil) {
                clockwork.schedule(() -> finish(job), stillUntil - now, TimeUnit.MICROSECONDS);
                return;
            }
            if (!running.remove(job)) {
                return;
            }
            unitsDone += job.relay().getUnits();
            while (running.size() < nature.cores() && !waiting.isEmpty()) {
                begin(waiting.removeFirst(), now);
            }
        }
        reply(job.peer(), job.relay(), Outcome.SUCCEEDED);
    }

    private void cancel(PeerConnection peer, long number) {
        if (nature.dropsCancelled()) {
            synchronized (this) {
                waiting.removeIf(j -> j.peer() == peer && j.relay().getNumber() == number);
            }
        }
    }

    private void probe(PeerConnection peer, long number) {
        if (!hangs && !fallen && up) {
            Load load;
            long in;
            synchronized (this) {
                load = load();
                in = Math.max(0, stillUntil - world.monotonicMicros());
            }
            Frame answer =
                    Frame.newBuilder()
                            .setProbeReply(ProbeReply.newBuilder().setNumber(number).setLoad(load))
                            .build();
            clockwork.schedule(() -> peer.send(answer), in, TimeUnit.MICROSECONDS);
        }
    }

    private Load load() {
        return nature.tells()
                ? Load.newBuilder()
                        .setQueueLength(waiting.size())
                        .setBusy(running.size() / (double) nature.cores())
                        .build()
                : Load.getDefaultInstance();
    }

    private void reply(PeerConnection peer, Attempt relay, Outcome outcome) {
        AttemptReply.Builder reply =
                AttemptReply.newBuilder().setNumber(relay.getNumber()).setOutcome(outcome);
        synchronized (this) {
            reply.setLoad(load());
        }
        if (outcome == Outcome.SUCCEEDED && !relay.getWrite()) {
            reply.setPayload(
                    ByteString.copyFrom(new byte[(int) Math.min(4096, 64 * relay.getUnits())]));
        }
        peer.send(Frame.newBuilder().setAttemptReply(reply).build());
    }

    /**
     * The largest part of what a cold start bears that was ever sent to it within the fall time;
     * over 1 it fell over.
     */
    public synchronized double warmUpBudgetUsed() {
        return warmUpBudgetUsed;
    }

    /** What is there, for a look from outside. */
    public synchronized Map<String, Integer> figures() {
        return Map.of(
                "waiting", waiting.size(), "running", running.size(), "connections", peers.size());
    }
}
