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
    private final TargetBehavior behavior;
    private final ScheduledExecutorService executor;
    private final Function<String, DeduplicationCache> deduplicationCacheOf;
    private final FrameObserver observer;
    private final ExecutionListener executionListener;
    private final SplittableRandom random;

    private final ExecutionEnvironment environment;
    private Network network;
    private Network.Listener networkListener;
    private int port;
    private int incarnation;
    private boolean up;
    private long startedAt;
    private boolean isWarmingUp;

    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<String> recentExtents = new ArrayDeque<>();
    private final ArrayDeque<long[]> warmUpArrivals = new ArrayDeque<>();
    private final Set<PeerConnection> peers = new LinkedHashSet<>();
    private double warmUpUnits;
    private double completedUnits;
    private double warmUpBudgetUsed;
    private double deferredWorkMicros;
    private long stalledUntilMicros;

    private volatile boolean hangs;
    private volatile boolean fallen;
    private volatile boolean refuses;
    private volatile double slowdownFactor = 1;
    private volatile double errorFraction;
    private volatile double droppedReplyFraction;
    private volatile long pauseEvery, pauseLeast, pauseMost;

    private record Job(PeerConnection peer, Attempt relay, long came, int life) {}

    /**
     * @param deduplicationCacheOf the marks its group knows, by category; null for a category whose
     *     repeats are not dropped
     */
    public Target(
            String id,
            int shard,
            TargetBehavior behavior,
            long seed,
            ScheduledExecutorService clockwork,
            Function<String, DeduplicationCache> marksOf,
            FrameObserver tap,
            ExecutionListener witness) {
        this(id, shard, behavior, seed, clockwork, marksOf, tap, witness, new SocketEnvironment());
    }

    /**
     * @param environment that it lives in
     */
    public Target(
            String id,
            int shard,
            TargetBehavior behavior,
            long seed,
            ScheduledExecutorService clockwork,
            Function<String, DeduplicationCache> marksOf,
            FrameObserver tap,
            ExecutionListener witness,
            ExecutionEnvironment world) {
        this.environment = world;
        this.id = id;
        this.shard = shard;
        this.behavior = behavior;
        this.executor = clockwork;
        this.deduplicationCacheOf = marksOf;
        this.observer = tap;
        this.executionListener = witness;
        random = new SplittableRandom(seed);
    }

    public String id() {
        return id;
    }

    public int shard() {
        return shard;
    }

    public TargetBehavior behavior() {
        return behavior;
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
        network = environment.openNetwork(id, 1, observer);
        networkListener =
                network.listen(
                        "127.0.0.1",
                        port,
                        Role.TARGET,
                        this,
                        new FrameLimits(4 << 20, 16 << 20, 5_000_000, 0));
        port = networkListener.port();
        incarnation++;
        up = true;
        isWarmingUp = fromCold;
        startedAt = environment.monotonicMicros();
        fallen = false;
        hangs = false;
        warmUpUnits = 0;
        completedUnits = 0;
        warmUpArrivals.clear();
        executionListener.note(
                id, Note.Kind.STARTED, isWarmingUp ? "cold" : "warm", behavior.unitsPerSecond());
        tick(incarnation, this::doPutOff, behavior.deferredWorkPeriodMicros());
        tick(incarnation, this::pauseOfOwn, behavior.pausePeriodMicros());
    }

    private void tick(int ofLife, Runnable task, long every) {
        if (every > 0) {
            long in = (long) (every * (0.5 + random.nextDouble()));
            executor.schedule(
                    () -> {
                        synchronized (this) {
                            if (incarnation != ofLife || !up) {
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
            incarnation++;
            queue.clear();
            running.clear();
            recentExtents.clear();
            peers.clear();
            deferredWorkMicros = 0;
            old = network;
        }
        executionListener.note(id, Note.Kind.KILLED, "", 0);
        old.abort();
    }

    // ---- Faults to order; each stays until it is taken back ----

    /** Takes accesses and answers none. What it took meanwhile stays unanswered. */
    public void setHanging(boolean on) {
        hangs = on;
        if (!on) {
            synchronized (this) {
                queue.clear();
                running.clear();
            }
        }
    }

    /** All work takes so many times as long. */
    public void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    /** Quickly fails this part of what it gets; half of those were run. */
    public void setErrorFraction(double part) {
        errorFraction = part;
    }

    /** Never answers this part of what it gets; half of those were run. */
    public void setDroppedReplyFraction(double part) {
        droppedReplyFraction = part;
    }

    /** Stands still now and then; 0 ends it. Times are microseconds. */
    public synchronized void setPauses(long every, long least, long most) {
        boolean was = pauseEvery > 0;
        pauseEvery = every;
        pauseLeast = least;
        pauseMost = most;
        if (every > 0 && !was) {
            pauseToOrder(incarnation);
        }
    }

    private void pauseToOrder(int ofLife) {
        executor.schedule(
                () -> {
                    synchronized (this) {
                        if (incarnation == ofLife && pauseEvery > 0) {
                            stand(random.nextLong(pauseLeast, Math.max(pauseMost, pauseLeast + 1)));
                            pauseToOrder(ofLife);
                        }
                    }
                },
                (long) (pauseEvery * (0.5 + random.nextDouble())),
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
    public void setRefusingConnections(boolean on) {
        refuses = on;
    }

    private void pauseOfOwn() {
        stand(behavior.pauseMicros());
    }

    private void stand(long micros) {
        stalledUntilMicros = Math.max(stalledUntilMicros, environment.monotonicMicros() + micros);
    }

    private void doPutOff() {
        long work = (long) (deferredWorkMicros / behavior.speed() / behavior.cores());
        deferredWorkMicros = 0;
        if (work > 0) {
            stand(work);
        }
    }

    // ---- Serving ----

    @Override
    public void onReady(PeerConnection peer) {
        boolean taken;
        synchronized (this) {
            taken = peers.size() < behavior.maxConnections() && !refuses;
            if (taken) {
                peers.add(peer);
            }
        }
        if (taken && behavior.connectionSetupMicros() > 0) {
            synchronized (this) {
                stand(behavior.connectionSetupMicros());
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
        long now = environment.monotonicMicros();
        press(now, relay.getUnits());
        if (hangs || fallen || !up) {
            return null;
        }
        if (relay.hasShard() && relay.getShard() != shard) {
            return Outcome.NOT_STARTED;
        }
        if (errorFraction > 0 && random.nextDouble() < errorFraction) {
            if (random.nextBoolean()) {
                effect(relay, now);
            }
            return Outcome.ERROR;
        }
        if (droppedReplyFraction > 0 && random.nextDouble() < droppedReplyFraction) {
            if (random.nextBoolean()) {
                effect(relay, now);
            }
            return null;
        }
        Job job = new Job(peer, relay, now, incarnation);
        if (running.size() < behavior.cores()) {
            begin(job, now);
        } else if (queue.size() < behavior.queueCapacity()) {
            queue.add(job);
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
        if (!isWarmingUp || now > startedAt + behavior.warmUpMicros()) {
            return;
        }
        warmUpArrivals.addLast(new long[] {now, Double.doubleToLongBits(units)});
        warmUpUnits += units;
        while (warmUpArrivals.peekFirst()[0] <= now - behavior.overloadWindowMicros()) {
            warmUpUnits -= Double.longBitsToDouble(warmUpArrivals.removeFirst()[1]);
        }
        double bears =
                behavior.overloadFactor()
                        * behavior.unitsPerSecond()
                        * warmth(now)
                        * behavior.overloadWindowMicros()
                        / 1e6;
        warmUpBudgetUsed =
                behavior.overloadWindowMicros() > 0
                        ? Math.max(warmUpBudgetUsed, warmUpUnits / bears)
                        : 0;
        if (behavior.overloadWindowMicros() > 0 && warmUpUnits > bears && !fallen) {
            fallen = true;
            executionListener.note(id, Note.Kind.OVERLOAD_COLLAPSE, "", warmUpUnits / bears);
        }
    }

    private double warmth(long now) {
        double age =
                behavior.warmUpMicros() == 0
                        ? 1
                        : Math.min(1, (now - startedAt) / (double) behavior.warmUpMicros());
        age =
                behavior.warmUpUnits() > 0
                        ? Math.min(1, Math.max(age, completedUnits / behavior.warmUpUnits()))
                        : age;
        return isWarmingUp
                ? behavior.initialCapacityFraction()
                        + (1 - behavior.initialCapacityFraction()) * age
                : 1;
    }

    private void begin(Job job, long now) {
        Attempt r = job.relay();
        if (now > job.came() + r.getTimeLeftMicros()) {
            executor.execute(
                    () ->
                            reply(
                                    job.peer(),
                                    r,
                                    Outcome.NOT_STARTED)); // its time is up: it is not begun
            return;
        }
        running.add(job);
        if (!effect(r, now)) {
            executor.schedule(() -> finish(job), 200, TimeUnit.MICROSECONDS);
            return;
        }
        double work =
                r.getUnits()
                        * behavior.unitMicros()
                        * behavior.workDistribution().factor(random.nextDouble())
                        * (1 + behavior.queueingPenalty() * queue.size());
        if (!r.getExtent().isEmpty() && r.getAttemptNumber() == 0 && remembers(r.getExtent())) {
            work *= 1 - behavior.rememberedExtentSaving();
        }
        if (r.getWrite()) {
            deferredWorkMicros += work * behavior.deferredWriteFraction();
            work *= 1 - behavior.deferredWriteFraction();
        }
        long takes = (long) (work * slowdownFactor / behavior.speed() / warmth(now));
        executor.schedule(
                () -> finish(job),
                Math.max(takes, stalledUntilMicros - now + takes),
                TimeUnit.MICROSECONDS);
    }

    private boolean remembers(String extent) {
        boolean known = recentExtents.remove(extent);
        recentExtents.addLast(extent);
        if (recentExtents.size() > behavior.rememberedExtents()) {
            recentExtents.removeFirst();
        }
        return known;
    }

    /** Has the access's effect; false for a repeat that its mark gives away. */
    private boolean effect(Attempt r, long now) {
        DeduplicationCache marks = deduplicationCacheOf.apply(r.getRequestClass());
        boolean first = marks == null || marks.recordExecution(r.getIdempotencyKey(), now);
        executionListener.note(
                id,
                first ? Note.Kind.EXECUTED : Note.Kind.DEDUPLICATED,
                r.getIdempotencyKey() + " " + r.getRequestClass(),
                r.getAttemptNumber());
        return first;
    }

    private void finish(Job job) {
        synchronized (this) {
            long now = environment.monotonicMicros();
            if (job.life() != incarnation || hangs || fallen) {
                return;
            }
            if (now < stalledUntilMicros) {
                executor.schedule(
                        () -> finish(job), stalledUntilMicros - now, TimeUnit.MICROSECONDS);
                return;
            }
            if (!running.remove(job)) {
                return;
            }
            completedUnits += job.relay().getUnits();
            while (running.size() < behavior.cores() && !queue.isEmpty()) {
                begin(queue.removeFirst(), now);
            }
        }
        reply(job.peer(), job.relay(), Outcome.SUCCEEDED);
    }

    private void cancel(PeerConnection peer, long number) {
        if (behavior.dropsCancelled()) {
            synchronized (this) {
                queue.removeIf(j -> j.peer() == peer && j.relay().getNumber() == number);
            }
        }
    }

    private void probe(PeerConnection peer, long number) {
        if (!hangs && !fallen && up) {
            Load load;
            long in;
            synchronized (this) {
                load = load();
                in = Math.max(0, stalledUntilMicros - environment.monotonicMicros());
            }
            Frame answer =
                    Frame.newBuilder()
                            .setProbeReply(ProbeReply.newBuilder().setNumber(number).setLoad(load))
                            .build();
            executor.schedule(() -> peer.send(answer), in, TimeUnit.MICROSECONDS);
        }
    }

    private Load load() {
        return behavior.reportsLoad()
                ? Load.newBuilder()
                        .setQueueLength(queue.size())
                        .setBusy(running.size() / (double) behavior.cores())
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
    public synchronized Map<String, Integer> stateCounts() {
        return Map.of(
                "waiting", queue.size(), "running", running.size(), "connections", peers.size());
    }
}
