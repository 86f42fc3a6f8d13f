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

    private final LoadProfile profile;
    private final boolean isDirect;
    private final ExecutionEnvironment environment;
    private final Network network;
    private final ScheduledExecutorService executor;
    private final ServiceLevelRecorder serviceLevels;
    private final SplittableRandom random;
    private final List<ServerLink> links = new ArrayList<>();
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
    private final class ServerLink implements PeerListener {
        final String name;
        final Map<Long, ClientAttempt> pending = new ConcurrentHashMap<>();
        volatile String host;
        volatile int port;
        volatile PeerConnection peer;
        private volatile PeerConnection leaving;

        ServerLink(String name, String host, int port) {
            this.name = name;
            this.host = host;
            this.port = port;
        }

        void connect() {
            if (!stopped) {
                network.connect(
                        host,
                        port,
                        isDirect ? Role.INITIATOR : Role.CLIENT,
                        this,
                        BOUNDS,
                        why -> executor.schedule(this::connect, 50, TimeUnit.MILLISECONDS));
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
                    ClientAttempt attempt = pending.remove(a.getNumber());
                    if (attempt != null) {
                        answered(attempt, a);
                    }
                    closeIfDone(from);
                }
                case ATTEMPT_REPLY -> {
                    ClientAttempt attempt = pending.remove(frame.getAttemptReply().getNumber());
                    if (attempt != null) {
                        replied(attempt, frame.getAttemptReply().getOutcome());
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
            if (leaving == from
                    && pending.values().stream().noneMatch(attempt -> attempt.peer == from)) {
                from.close("all is answered");
            }
        }

        /**
         * Hands an access to the open connection; null where there is none. Nothing joins one that
         * is going away.
         */
        synchronized PeerConnection enter(ClientAttempt attempt) {
            attempt.peer = peer;
            if (peer != null) {
                pending.put(attempt.number, attempt);
            }
            return peer;
        }

        @Override
        public void onClosed(PeerConnection gone, String why) {
            if (peer == gone) {
                peer = null;
            }
            // What was out there has no answer; a client repeats it where that is harmless.
            for (ClientAttempt attempt : new ArrayList<>(pending.values())) {
                if (attempt.peer == gone && pending.remove(attempt.number) != null) {
                    lost(attempt);
                }
            }
            executor.schedule(this::connect, 50, TimeUnit.MILLISECONDS);
        }
    }

    /** One try of one access. */
    private static final class ClientAttempt {
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

        ClientAttempt(
                LoadProfile.RequestClass requestClass,
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
            this.kind = requestClass;
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

        ClientAttempt next() {
            return new ClientAttempt(
                    kind, volume, shard, extent, units, mark, door, due, until, tries + 1, false);
        }
    }

    /**
     * @param isDirect to targets, by shard, with nothing between
     */
    public LoadGenerator(
            LoadProfile profile,
            boolean straight,
            long seed,
            ScheduledExecutorService clockwork,
            FrameObserver tap)
            throws IOException {
        this(profile, straight, seed, clockwork, tap, new SocketEnvironment());
    }

    /**
     * @param environment that they live in
     */
    public LoadGenerator(
            LoadProfile profile,
            boolean straight,
            long seed,
            ScheduledExecutorService clockwork,
            FrameObserver tap,
            ExecutionEnvironment world)
            throws IOException {
        this.environment = world;
        this.profile = profile;
        this.isDirect = straight;
        this.executor = clockwork;
        serviceLevels = new ServiceLevelRecorder(profile);
        random = new SplittableRandom(seed);
        network = world.openNetwork("client", 2, tap);
        runs = new long[profile.volumes().size()];
        upTo = profile.volumes().stream().mapToDouble(LoadProfile.Volume::demandFraction).toArray();
        Arrays.parallelPrefix(upTo, Double::sum);
        runExtents = new String[profile.volumes().size()];
        pace = new Thread(this::pace, "clients-pace");
        pace.setDaemon(true);
    }

    public void addServer(String name, String host, int port) {
        ServerLink link = new ServerLink(name, host, port);
        links.add(link);
        link.connect();
    }

    /** A door moved, as an initiator or target does that comes back elsewhere. */
    public void moveServer(int door, int port) {
        links.get(door).port = port;
    }

    public ServiceLevelRecorder serviceLevels() {
        return serviceLevels;
    }

    /** Waits until every door is open; false where one is not in time. */
    public boolean awaitConnected(long millis) throws InterruptedException {
        long until = environment.monotonicMicros() + millis * 1000;
        while (links.stream().anyMatch(d -> d.peer == null)) {
            if (environment.monotonicMicros() > until) {
                return false;
            }
            environment.sleep(1_000);
        }
        return true;
    }

    public void start() {
        due = environment.monotonicMicros();
        beganAt = due;
        if (!profile.trace().isEmpty()) {
            executor.execute(this::traceNext);
        } else if (profile.closedLoopClients() > 0) {
            for (int program = 0; program < profile.closedLoopClients(); program++) {
                askAfter(
                        program % profile.volumes().size(),
                        random.nextLong(1_000 + profile.thinkTimeMicros()));
            }
        } else if (environment.isVirtual()) {
            paceNext();
        } else {
            pace.start();
        }
    }

    /**
     * Some volumes ask for so much more that all traffic grows by this part; an empty set ends it.
     */
    public void setSurge(Set<String> volumes, double by) {
        List<LoadProfile.Volume> all = profile.volumes();
        surges =
                IntStream.range(0, all.size())
                        .filter(v -> volumes.contains(all.get(v).name()))
                        .toArray();
        extra = surges.length == 0 ? 0 : by;
    }

    /** This part of accesses goes to one piece of data. */
    public void setHotKeyFraction(double part) {
        hot = part;
    }

    /** Closes every client connection at once; they connect again. */
    public void reconnect() {
        for (ServerLink link : links) {
            PeerConnection peer = link.peer;
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
        long until = environment.monotonicMicros() + millis * 1000;
        while (pendingCount.get() > 0 && environment.monotonicMicros() < until) {
            environment.sleep(5_000);
        }
        int left = pendingCount.get();
        network.close();
        return left;
    }

    /** Stops at once, whatever is out. */
    public void abort() {
        stopped = true;
        network.abort();
    }

    // ---- Sending ----

    private void pace() {
        while (!stopped) {
            due += gap();
            long wait = due - environment.monotonicMicros();
            if (wait > 0) {
                LockSupport.parkNanos(wait * 1000);
            }
            first(pickVolume());
        }
    }

    /** As {@link #pace}, by a timer for each access. */
    private void paceNext() {
        due += gap();
        executor.schedule(
                () -> {
                    if (!stopped) {
                        first(pickVolume());
                        paceNext();
                    }
                },
                due - environment.monotonicMicros(),
                TimeUnit.MICROSECONDS);
    }

    /**
     * A program of a closed loop asks, always for the same volume. Its times hide nothing of a
     * standstill from whoever counts answers, but it asks less while it waits: a closed loop
     * measures what passes, an open one what is suffered (Schroeder, Wierman and Harchol-Balter,
     * NSDI 2006).
     */
    private void askAfter(int volume, long micros) {
        executor.schedule(
                () -> {
                    if (!stopped) {
                        synchronized (this) {
                            due = environment.monotonicMicros();
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
        while (!stopped && traced < profile.trace().size()) {
            LoadProfile.TracedRequest next = profile.trace().get(traced);
            due = beganAt + next.offsetMicros();
            if (due > environment.monotonicMicros()) {
                executor.schedule(
                        this::traceNext,
                        due - environment.monotonicMicros(),
                        TimeUnit.MICROSECONDS);
                return;
            }
            traced++;
            String mark = "m" + numbers.incrementAndGet() + "." + next.volume().name();
            ask(
                    new ClientAttempt(
                            next.requestClass(),
                            next.volume(),
                            next.shard(),
                            next.extent(),
                            next.units(),
                            mark,
                            isDirect ? Math.max(0, next.shard()) : next.initiator(),
                            due,
                            due + next.timeLeftMicros(),
                            0,
                            false));
        }
    }

    private long gap() {
        return (long)
                (-Math.log(1 - random.nextDouble())
                        * 1e6
                        / (profile.requestsPerSecond() * (1 + extra)));
    }

    private void first(int volume) {
        ask(draw(due, volume));
    }

    private void ask(ClientAttempt first) {
        serviceLevels.recordRequest(first.kind.name(), first.volume.name());
        pendingCount.incrementAndGet();
        send(first);
    }

    private ClientAttempt draw(long due, int v) {
        LoadProfile.RequestClass requestClass = pickKind();
        LoadProfile.Volume volume = profile.volumes().get(v);
        boolean toHot = hot > 0 && random.nextDouble() < hot;
        int shard = volume.shards()[toHot ? 0 : random.nextInt(volume.shards().length)];
        String extent = toHot ? "hot-" + shard : extent(v, shard);
        double units =
                requestClass.minUnits()
                        + random.nextInt(requestClass.maxUnits() - requestClass.minUnits() + 1);
        int lead = random.nextDouble() < 0.6 ? 0 : random.nextInt(volume.initiators().length);
        int door = isDirect ? shard : volume.initiators()[lead];
        boolean impatient =
                profile.shortDeadlineFraction() > 0
                        && random.nextDouble() < profile.shortDeadlineFraction();
        long time =
                impatient
                        ? random.nextLong(
                                profile.minShortDeadlineMicros(),
                                profile.maxShortDeadlineMicros() + 1)
                        : requestClass.deadlineMicros();
        String mark = "m" + numbers.incrementAndGet() + "." + volume.name();
        return new ClientAttempt(
                requestClass,
                volume,
                requestClass.isNewObject() && !isDirect ? -1 : shard,
                extent,
                units,
                mark,
                door,
                due,
                due + time,
                0,
                profile.cancelFraction() > 0 && random.nextDouble() < profile.cancelFraction());
    }

    private LoadProfile.RequestClass pickKind() {
        double left = random.nextDouble();
        for (LoadProfile.RequestClass requestClass : profile.requestClasses()) {
            left -= requestClass.share();
            if (left < 0) {
                return requestClass;
            }
        }
        return profile.requestClasses().get(0);
    }

    /**
     * By the parts of demand, and what a surge adds to its volumes in equal parts; a look-up among
     * however many.
     */
    private int pickVolume() {
        int[] surging = surges;
        double part = random.nextDouble() * (1 + extra);
        if (part >= 1 && surging.length > 0) {
            return surging[random.nextInt(surging.length)];
        }
        int at = Arrays.binarySearch(upTo, part);
        return Math.min(upTo.length - 1, at >= 0 ? at + 1 : -at - 1);
    }

    /** Programs send several accesses to one piece of data in a row. */
    private String extent(int v, int shard) {
        if (runs[v]-- <= 0 || runExtents[v] == null) {
            runs[v] = random.nextInt(6);
            runExtents[v] = "x" + random.nextInt(1000);
        }
        return runExtents[v] + "." + v + "." + shard;
    }

    private void send(ClientAttempt attempt) {
        ServerLink link = links.get(attempt.door);
        long now = environment.monotonicMicros();
        long left = attempt.until - now;
        if (left <= 0) {
            finish(attempt, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
            return;
        }
        attempt.number = numbers.incrementAndGet();
        PeerConnection peer = link.enter(attempt);
        if (peer == null) {
            serviceLevels.recordUnreachable(attempt.kind.name());
            again(attempt, 0, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
            return;
        }
        boolean sent = peer.send(isDirect ? relay(attempt, left) : access(attempt, left));
        if (!sent) {
            if (link.pending.remove(attempt.number) != null) {
                serviceLevels.recordUnreachable(attempt.kind.name());
                again(attempt, 0, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
            }
            return;
        }
        long patience =
                attempt.vanishes
                        ? Math.min(left / 4, 50_000)
                        : left + profile.responseSlackMicros();
        executor.schedule(
                () -> giveUp(link, attempt, attempt.vanishes), patience, TimeUnit.MICROSECONDS);
    }

    private Frame access(ClientAttempt attempt, long left) {
        Request.Builder a =
                Request.newBuilder()
                        .setNumber(attempt.number)
                        .setExtent(attempt.extent)
                        .setVolume(attempt.volume.name())
                        .setPlan(attempt.volume.plan())
                        .setRequestClass(attempt.kind.name())
                        .setInitiatorCount(attempt.volume.initiators().length)
                        .setUnits(attempt.units)
                        .setTimeLeftMicros(left)
                        .setWrite(attempt.kind.isWrite())
                        .setIdempotencyKey(attempt.mark);
        if (attempt.shard >= 0) {
            a.setShard(attempt.shard);
        }
        if (attempt.kind.isWrite()) {
            a.setPayload(ByteString.copyFrom(new byte[(int) (64 * attempt.units)]));
        }
        return Frame.newBuilder().setRequest(a).build();
    }

    private Frame relay(ClientAttempt attempt, long left) {
        return Frame.newBuilder()
                .setAttempt(
                        Attempt.newBuilder()
                                .setNumber(attempt.number)
                                .setRequestId("s-" + attempt.number)
                                .setShard(attempt.shard)
                                .setExtent(attempt.extent)
                                .setVolume(attempt.volume.name())
                                .setRequestClass(attempt.kind.name())
                                .setUnits(attempt.units)
                                .setTimeLeftMicros(left)
                                .setWrite(attempt.kind.isWrite())
                                .setIdempotencyKey(attempt.mark)
                                .setPayload(
                                        attempt.kind.isWrite()
                                                ? ByteString.copyFrom(
                                                        new byte[(int) (64 * attempt.units)])
                                                : ByteString.EMPTY))
                .build();
    }

    private void giveUp(ServerLink link, ClientAttempt attempt, boolean leaves) {
        if (link.pending.remove(attempt.number) != null) {
            if (leaves && !isDirect) {
                attempt.peer.send(
                        Frame.newBuilder()
                                .setCancelRequest(
                                        CancelRequest.newBuilder().setNumber(attempt.number))
                                .build());
            }
            finish(attempt, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
            link.closeIfDone(attempt.peer);
        }
    }

    // ---- What comes back ----

    private void answered(ClientAttempt attempt, Response a) {
        switch (a.getStatus()) {
            case ANSWERED -> served(attempt);
            case REJECTED ->
                    again(
                            attempt,
                            a.getRetryAfterMicros(),
                            () -> serviceLevels.recordRejection(attempt.kind.name()));
            default -> {
                if (attempt.kind.idempotency() == LoadProfile.Idempotency.IDEMPOTENT) {
                    again(attempt, 0, () -> serviceLevels.recordFailure(attempt.kind.name()));
                } else {
                    finish(attempt, () -> serviceLevels.recordFailure(attempt.kind.name()));
                }
            }
        }
    }

    private void replied(ClientAttempt attempt, Outcome outcome) {
        switch (outcome) {
            case SUCCEEDED -> served(attempt);
            case OVERLOADED, NOT_STARTED ->
                    again(attempt, 0, () -> serviceLevels.recordRejection(attempt.kind.name()));
            default -> finish(attempt, () -> serviceLevels.recordFailure(attempt.kind.name()));
        }
    }

    private void served(ClientAttempt attempt) {
        long micros = environment.monotonicMicros() - attempt.due;
        finish(
                attempt,
                () ->
                        serviceLevels.recordAnswer(
                                attempt.kind.name(),
                                attempt.volume.name(),
                                micros,
                                micros <= attempt.kind.latencyObjectiveMicros()));
    }

    private void lost(ClientAttempt attempt) {
        boolean harmless =
                attempt.kind.idempotency() == LoadProfile.Idempotency.IDEMPOTENT
                        || attempt.kind.idempotency() == LoadProfile.Idempotency.IDEMPOTENCY_KEY
                                && attempt.kind.isDeduplicatedFleetWide();
        if (harmless) {
            again(attempt, 0, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
        } else {
            finish(attempt, () -> serviceLevels.recordUnanswered(attempt.kind.name()));
        }
    }

    private void again(ClientAttempt attempt, long advised, Runnable otherwise) {
        long wait = advised > 0 ? advised : profile.retryDelayMicros();
        if (attempt.tries >= profile.retries()
                || environment.monotonicMicros() + wait >= attempt.until
                || stopped) {
            finish(attempt, otherwise);
            return;
        }
        executor.schedule(() -> send(attempt.next()), wait, TimeUnit.MICROSECONDS);
    }

    private void finish(ClientAttempt attempt, Runnable count) {
        count.run();
        pendingCount.decrementAndGet();
        if (profile.closedLoopClients() > 0) {
            askAfter(profile.volumes().indexOf(attempt.volume), profile.thinkTimeMicros());
        }
    }
}
