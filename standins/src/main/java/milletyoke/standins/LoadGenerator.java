package milletyoke.standins;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.CancelRequest;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.Role;

/**
 * Many clients on one connection to each initiator, or straight to each target for comparison.
 * Accesses leave when they are due, whether or not earlier ones were answered.
 */
public final class LoadGenerator {
    private static final FrameLimits BOUNDS = new FrameLimits(4 << 20, 64 << 20, 5_000_000, 0);

    private final LoadProfile demand;
    private final boolean straight;
    private final ExecutionEnvironment world;
    private final Network wire;
    private final ScheduledExecutorService clockwork;
    private final ServiceLevelRecorder service;
    private final SplittableRandom chance;
    private final List<Door> doors = new ArrayList<>();
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicInteger pendingCount = new AtomicInteger();
    private final Thread pace;
    private volatile boolean stopped;
    private volatile int[] surges = new int[0];

    /** The parts of demand of all volumes up to each, in their order. */
    private final double[] upTo;

    private volatile double extra;
    private volatile double hot;

    /** When the next first try is due; of the one who paces. */
    private long due;

    /** Of a trace: when it began, and how much of it was asked. */
    private long beganAt;

    private int traced;
    private long[] runs;
    private String[] runExtents;

    /** Where accesses go: one connection, made again whenever it is lost. */
    private final class Door implements PeerListener {
        final String name;
        final Map<Long, Try> pending = new ConcurrentHashMap<>();
        volatile String host;
        volatile int port;
        volatile PeerConnection peer;
        private volatile PeerConnection leaving;

        Door(String name, String host, int port) {
            this.name = name;
            this.host = host;
            this.port = port;
        }

        void connect() {
            if (!stopped) {
                wire.connect(
                        host,
                        port,
                        straight ? Role.INITIATOR : Role.CLIENT,
                        this,
                        BOUNDS,
                        why -> clockwork.schedule(this::connect, 50, TimeUnit.MILLISECONDS));
            }
        }

        @Override
        public void onReady(PeerConnection made) {
            peer = made;
        }

        @Override
        public void onFrame(PeerConnection from, Frame frame) throws MalformedFrameException {
            switch (frame.getBodyCase()) {
                case RESPONSE -> {
                    Response a = frame.getResponse();
                    Try t = pending.remove(a.getNumber());
                    if (t != null) {
                        answered(t, a);
                    }
                    closeIfDone(from);
                }
                case ATTEMPT_REPLY -> {
                    Try t = pending.remove(frame.getAttemptReply().getNumber());
                    if (t != null) {
                        replied(t, frame.getAttemptReply().getOutcome());
                    }
                }
                default ->
                        throw new MalformedFrameException(
                                "a client gets answers, not " + frame.getBodyCase());
            }
        }

        /**
         * Asks nothing more there, and closes once all is answered; what is repeated meanwhile
         * finds no way in here.
         */
        @Override
        public void onGoingAway(PeerConnection from, String why) {
            synchronized (this) {
                leaving = from;
                peer = peer == from ? null : peer;
            }
            closeIfDone(from);
        }

        private void closeIfDone(PeerConnection from) {
            if (leaving == from && pending.values().stream().noneMatch(t -> t.peer == from)) {
                from.close("all is answered");
            }
        }

        /**
         * Hands an access to the open connection; null where there is none. Nothing joins one that
         * is going away.
         */
        synchronized PeerConnection enter(Try t) {
            t.peer = peer;
            if (peer != null) {
                pending.put(t.number, t);
            }
            return peer;
        }

        @Override
        public void onClosed(PeerConnection gone, String why) {
            if (peer == gone) {
                peer = null;
            }
            // What was out there has no answer; a client repeats it where that is harmless.
            for (Try t : new ArrayList<>(pending.values())) {
                if (t.peer == gone && pending.remove(t.number) != null) {
                    lost(t);
                }
            }
            clockwork.schedule(this::connect, 50, TimeUnit.MILLISECONDS);
        }
    }

    /** One try of one access. */
    private static final class Try {
        final LoadProfile.RequestClass kind;
        final LoadProfile.Volume volume;
        final int shard;
        final String extent;
        final double units;
        final String mark;
        final int door;
        final long due;
        final long until;
        final int tries;
        final boolean vanishes;
        long number;
        PeerConnection peer;

        Try(
                LoadProfile.RequestClass kind,
                LoadProfile.Volume volume,
                int shard,
                String extent,
                double units,
                String mark,
                int door,
                long due,
                long until,
                int tries,
                boolean vanishes) {
            this.kind = kind;
            this.volume = volume;
            this.shard = shard;
            this.extent = extent;
            this.units = units;
            this.mark = mark;
            this.door = door;
            this.due = due;
            this.until = until;
            this.tries = tries;
            this.vanishes = vanishes;
        }

        Try next() {
            return new Try(
                    kind, volume, shard, extent, units, mark, door, due, until, tries + 1, false);
        }
    }

    /**
     * @param straight to targets, by shard, with nothing between
     */
    public LoadGenerator(
            LoadProfile demand,
            boolean straight,
            long seed,
            ScheduledExecutorService clockwork,
            FrameObserver tap)
            throws IOException {
        this(demand, straight, seed, clockwork, tap, new SocketEnvironment());
    }

    /**
     * @param world that they live in
     */
    public LoadGenerator(
            LoadProfile demand,
            boolean straight,
            long seed,
            ScheduledExecutorService clockwork,
            FrameObserver tap,
            ExecutionEnvironment world)
            throws IOException {
        this.world = world;
        this.demand = demand;
        this.straight = straight;
        this.clockwork = clockwork;
        service = new ServiceLevelRecorder(demand);
        chance = new SplittableRandom(seed);
        wire = world.openNetwork("client", 2, tap);
        runs = new long[demand.volumes().size()];
        upTo = demand.volumes().stream().mapToDouble(LoadProfile.Volume::part).toArray();
        Arrays.parallelPrefix(upTo, Double::sum);
        runExtents = new String[demand.volumes().size()];
        pace = new Thread(this::pace, "clients-pace");
        pace.setDaemon(true);
    }

    public void addInitiator(String name, String host, int port) {
        Door door = new Door(name, host, port);
        doors.add(door);
        door.connect();
    }

    /** A door moved, as an initiator or target does that comes back elsewhere. */
    public void moveInitiator(int door, int port) {
        doors.get(door).port = port;
    }

    public ServiceLevelRecorder service() {
        return service;
    }

    /** Waits until every door is open; false where one is not in time. */
    public boolean awaitConnected(long millis) throws InterruptedException {
        long until = world.monotonicMicros() + millis * 1000;
        while (doors.stream().anyMatch(d -> d.peer == null)) {
            if (world.monotonicMicros() > until) {
                return false;
            }
            world.sleep(1_000);
        }
        return true;
    }

    public void start() {
        due = world.monotonicMicros();
        beganAt = due;
        if (!demand.trace().isEmpty()) {
            clockwork.execute(this::traceNext);
        } else if (demand.closed() > 0) {
            for (int program = 0; program < demand.closed(); program++) {
                askAfter(
                        program % demand.volumes().size(), chance.nextLong(1_000 + demand.think()));
            }
        } else if (world.isVirtual()) {
            paceNext();
        } else {
            pace.start();
        }
    }

    /**
     * Some volumes ask for so much more that all traffic grows by this part; an empty set ends it.
     */
    public void surge(Set<String> volumes, double by) {
        List<LoadProfile.Volume> all = demand.volumes();
        surges =
                IntStream.range(0, all.size())
                        .filter(v -> volumes.contains(all.get(v).name()))
                        .toArray();
        extra = surges.length == 0 ? 0 : by;
    }

    /** This part of accesses goes to one piece of data. */
    public void hotKey(double part) {
        hot = part;
    }

    /** Closes every client connection at once; they connect again. */
    public void reconnect() {
        for (Door door : doors) {
            PeerConnection peer = door.peer;
            if (peer != null) {
                peer.close("clients reconnect");
            }
        }
    }

    /**
     * Sends nothing new, waits for what is out, and closes. @return tries still without an answer
     */
    public int stop(long millis) throws InterruptedException {
        stopped = true;
        pace.join(); // at once where it never was started
        long until = world.monotonicMicros() + millis * 1000;
        while (pendingCount.get() > 0 && world.monotonicMicros() < until) {
            world.sleep(5_000);
        }
        int left = pendingCount.get();
        wire.close();
        return left;
    }

    /** Stops at once, whatever is out. */
    public void abort() {
        stopped = true;
        wire.abort();
    }

    // ---- Sending ----

    private void pace() {
        while (!stopped) {
            due += gap();
            long wait = due - world.monotonicMicros();
            if (wait > 0) {
                LockSupport.parkNanos(wait * 1000);
            }
            first(pickVolume());
        }
    }

    /** As {@link #pace}, by a timer for each access. */
    private void paceNext() {
        due += gap();
        clockwork.schedule(
                () -> {
                    if (!stopped) {
                        first(pickVolume());
                        paceNext();
                    }
                },
                due - world.monotonicMicros(),
                TimeUnit.MICROSECONDS);
    }

    /**
     * A program of a closed loop asks, always for the same volume. Its times hide nothing of a
     * standstill from whoever counts answers, but it asks less while it waits: a closed loop
     * measures what passes, an open one what is suffered (Schroeder, Wierman and Harchol-Balter,
     * NSDI 2006).
     */
    private void askAfter(int volume, long micros) {
        clockwork.schedule(
                () -> {
                    if (!stopped) {
                        synchronized (this) {
                            due = world.monotonicMicros();
                            first(volume);
                        }
                    }
                },
                micros,
                TimeUnit.MICROSECONDS);
    }

    /**
     * Captured accesses, each when it came, the times between them as many times shorter as the
     * demand's speed has it.
     */
    private void traceNext() {
        while (!stopped && traced < demand.trace().size()) {
            LoadProfile.TracedRequest next = demand.trace().get(traced);
            due = beganAt + next.at();
            if (due > world.monotonicMicros()) {
                clockwork.schedule(
                        this::traceNext, due - world.monotonicMicros(), TimeUnit.MICROSECONDS);
                return;
            }
            traced++;
            String mark = "m" + numbers.incrementAndGet() + "." + next.volume().name();
            ask(
                    new Try(
                            next.kind(),
                            next.volume(),
                            next.shard(),
                            next.extent(),
                            next.units(),
                            mark,
                            straight ? Math.max(0, next.shard()) : next.door(),
                            due,
                            due + next.timeLeft(),
                            0,
                            false));
        }
    }

    private long gap() {
        return (long) (-Math.log(1 - chance.nextDouble()) * 1e6 / (demand.rate() * (1 + extra)));
    }

    private void first(int volume) {
        ask(draw(due, volume));
    }

    private void ask(Try first) {
        service.asked(first.kind.name(), first.volume.name());
        pendingCount.incrementAndGet();
        send(first);
    }

    private Try draw(long due, int v) {
        LoadProfile.RequestClass kind = pickKind();
        LoadProfile.Volume volume = demand.volumes().get(v);
        boolean toHot = hot > 0 && chance.nextDouble() < hot;
        int shard = volume.shards()[toHot ? 0 : chance.nextInt(volume.shards().length)];
        String extent = toHot ? "hot-" + shard : extent(v, shard);
        double units = kind.leastUnits() + chance.nextInt(kind.mostUnits() - kind.leastUnits() + 1);
        int lead = chance.nextDouble() < 0.6 ? 0 : chance.nextInt(volume.initiators().length);
        int door = straight ? shard : volume.initiators()[lead];
        boolean impatient = demand.impatient() > 0 && chance.nextDouble() < demand.impatient();
        long time =
                impatient
                        ? chance.nextLong(demand.leastTime(), demand.mostTime() + 1)
                        : kind.abandon();
        String mark = "m" + numbers.incrementAndGet() + "." + volume.name();
        return new Try(
                kind,
                volume,
                kind.anywhere() && !straight ? -1 : shard,
                extent,
                units,
                mark,
                door,
                due,
                due + time,
                0,
                demand.vanish() > 0 && chance.nextDouble() < demand.vanish());
    }

    private LoadProfile.RequestClass pickKind() {
        double left = chance.nextDouble();
        for (LoadProfile.RequestClass kind : demand.kinds()) {
            left -= kind.share();
            if (left < 0) {
                return kind;
            }
        }
        return demand.kinds().get(0);
    }

    /**
     * By the parts of demand, and what a surge adds to its volumes in equal parts; a look-up among
     * however many.
     */
    private int pickVolume() {
        int[] surging = surges;
        double part = chance.nextDouble() * (1 + extra);
        if (part >= 1 && surging.length > 0) {
            return surging[chance.nextInt(surging.length)];
        }
        int at = Arrays.binarySearch(upTo, part);
        return Math.min(upTo.length - 1, at >= 0 ? at + 1 : -at - 1);
    }

    /** Programs send several accesses to one piece of data in a row. */
    private String extent(int v, int shard) {
        if (runs[v]-- <= 0 || runExtents[v] == null) {
            runs[v] = chance.nextInt(6);
            runExtents[v] = "x" + chance.nextInt(1000);
        }
        return runExtents[v] + "." + v + "." + shard;
    }

    private void send(Try t) {
        Door door = doors.get(t.door);
        long now = world.monotonicMicros();
        long left = t.until - now;
        if (left <= 0) {
            finish(t, () -> service.unanswered(t.kind.name()));
            return;
        }
        t.number = numbers.incrementAndGet();
        PeerConnection peer = door.enter(t);
        if (peer == null) {
            service.unreachable(t.kind.name());
            again(t, 0, () -> service.unanswered(t.kind.name()));
            return;
        }
        boolean sent = peer.send(straight ? relay(t, left) : access(t, left));
        if (!sent) {
            if (door.pending.remove(t.number) != null) {
                service.unreachable(t.kind.name());
                again(t, 0, () -> service.unanswered(t.kind.name()));
            }
            return;
        }
        long patience = t.vanishes ? Math.min(left / 4, 50_000) : left + demand.answerSlack();
        clockwork.schedule(() -> giveUp(door, t, t.vanishes), patience, TimeUnit.MICROSECONDS);
    }

    private Frame access(Try t, long left) {
        Request.Builder a =
                Request.newBuilder()
                        .setNumber(t.number)
                        .setExtent(t.extent)
                        .setVolume(t.volume.name())
                        .setPlan(t.volume.plan())
                        .setRequestClass(t.kind.name())
                        .setInitiatorCount(t.volume.initiators().length)
                        .setUnits(t.units)
                        .setTimeLeftMicros(left)
                        .setWrite(t.kind.write())
                        .setIdempotencyKey(t.mark);
        if (t.shard >= 0) {
            a.setShard(t.shard);
        }
        if (t.kind.write()) {
            a.setPayload(ByteString.copyFrom(new byte[(int) (64 * t.units)]));
        }
        return Frame.newBuilder().setRequest(a).build();
    }

    private Frame relay(Try t, long left) {
        return Frame.newBuilder()
                .setAttempt(
                        Attempt.newBuilder()
                                .setNumber(t.number)
                                .setRequestId("s-" + t.number)
                                .setShard(t.shard)
                                .setExtent(t.extent)
                                .setVolume(t.volume.name())
                                .setRequestClass(t.kind.name())
                                .setUnits(t.units)
                                .setTimeLeftMicros(left)
                                .setWrite(t.kind.write())
                                .setIdempotencyKey(t.mark)
                                .setPayload(
                                        t.kind.write()
                                                ? ByteString.copyFrom(
                                                        new byte[(int) (64 * t.units)])
                                                : ByteString.EMPTY))
                .build();
    }

    private void giveUp(Door door, Try t, boolean leaves) {
        if (door.pending.remove(t.number) != null) {
            if (leaves && !straight) {
                t.peer.send(
                        Frame.newBuilder()
                                .setCancelRequest(CancelRequest.newBuilder().setNumber(t.number))
                                .build());
            }
            finish(t, () -> service.unanswered(t.kind.name()));
            door.closeIfDone(t.peer);
        }
    }

    // ---- What comes back ----

    private void answered(Try t, Response a) {
        switch (a.getStatus()) {
            case ANSWERED -> served(t);
            case REJECTED ->
                    again(t, a.getRetryAfterMicros(), () -> service.rejected(t.kind.name()));
            default -> {
                if (t.kind.repeats() == LoadProfile.Idempotency.IDEMPOTENT) {
                    again(t, 0, () -> service.brokenOff(t.kind.name()));
                } else {
                    finish(t, () -> service.brokenOff(t.kind.name()));
                }
            }
        }
    }

    private void replied(Try t, Outcome outcome) {
        switch (outcome) {
            case SUCCEEDED -> served(t);
            case OVERLOADED, NOT_STARTED -> again(t, 0, () -> service.rejected(t.kind.name()));
            default -> finish(t, () -> service.brokenOff(t.kind.name()));
        }
    }

    private void served(Try t) {
        long micros = world.monotonicMicros() - t.due;
        finish(
                t,
                () ->
                        service.answered(
                                t.kind.name(), t.volume.name(), micros, micros <= t.kind.agreed()));
    }

    private void lost(Try t) {
        boolean harmless =
                t.kind.repeats() == LoadProfile.Idempotency.IDEMPOTENT
                        || t.kind.repeats() == LoadProfile.Idempotency.IDEMPOTENCY_KEY
                                && t.kind.stampedForAll();
        if (harmless) {
            again(t, 0, () -> service.unanswered(t.kind.name()));
        } else {
            finish(t, () -> service.unanswered(t.kind.name()));
        }
    }

    private void again(Try t, long advised, Runnable otherwise) {
        long wait = advised > 0 ? advised : demand.retryWait();
        if (t.tries >= demand.retries() || world.monotonicMicros() + wait >= t.until || stopped) {
            finish(t, otherwise);
            return;
        }
        clockwork.schedule(() -> send(t.next()), wait, TimeUnit.MICROSECONDS);
    }

    private void finish(Try t, Runnable count) {
        count.run();
        pendingCount.decrementAndGet();
        if (demand.closed() > 0) {
            askAfter(demand.volumes().indexOf(t.volume), demand.think());
        }
    }
}
