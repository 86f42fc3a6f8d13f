package milletyoke.gateway.loop;

import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.gateway.dispatch.Connector;
import milletyoke.gateway.dispatch.WriteBatch;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.SnapshotBuilder;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.lifecycle.LifecycleEvent;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.wire.Connection;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;
import org.HdrHistogram.Histogram;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns {@link RequestScheduler} and all that it decides on. Others tell it what
 * happened through a bounded queue without locks; it never waits for a socket or a disk.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /**
     * Taken from the queue in one turn at most, so that a flood does not keep answers from leaving.
     */
    private static final int MOST_A_TURN = 1024;

    /**
     * Microseconds: the longest that the loop sleeps, and how often it looks for what is past all
     * use.
     */
    private static final long LONGEST_SLEEP = 50_000;

    /** How often a picture is made (microseconds). */
    private static final long PAINT_EVERY = 250_000;

    /** What the loop needs of the rest of the initiator. */
    public interface LoopEnvironment extends Connector {
        /** Ask discovery to tell every change from this version on. */
        void watchEndpoints(long version);

        /** The list changed; to be kept where a folder lasts, off the loop's thread. */
        void endpointListChanged(EndpointList whole);

        /** An access no longer takes a place. */
        void releaseSlot(Connection client, Request access, long stay);

        /** New plans and categories are known to the decisions and may be asked for. */
        void settingsApplied(milletyoke.scheduler.api.SchedulerSettings provisioning);

        /** The part of room that is taken, 0 to 1. */
        double utilization();

        /** Places taken. */
        int slotsInUse();

        /**
         * Whether anybody may look at pictures and rows; where nobody can, none are made and
         * nothing is kept for them.
         */
        default boolean isWatched() {
            return true;
        }
    }

    private final InitiatorConfig setup;
    private final LoopEnvironment around;
    private final ExecutionEnvironment world;
    private final LongSupplier clock;

    /** Runs the turns where there is no thread; null in service. */
    private final ExecutionEnvironment.LoopDriver drive;

    private final Counters counts;
    private final MpscArrayQueue<LoopMessage> queue;
    private final int roomForAccesses;
    private final RequestScheduler decide = new RequestScheduler();
    private final Scheduler decisions;
    private final Lifecycle lifecycle;
    private final ServiceStatistics accounts;
    private final SnapshotBuilder painter;
    private final RequestTracker ledger;
    private final AttemptDispatcher links;
    private final WriteBatch outbox = new WriteBatch();
    private final EndpointRegistry roster;
    private final Histogram turnTimes = new Histogram(60_000_000, 3);
    private final Histogram recent = new Histogram(60_000_000, 2);
    private final Thread thread;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final java.util.ArrayDeque<LoopMessage> own = new java.util.ArrayDeque<>();
    private volatile boolean parked;
    private volatile boolean killed;
    private volatile Throwable fault;
    private volatile LifecycleState lifecycleState = LifecycleState.STARTING;
    private volatile StatusSnapshot snapshot;
    private boolean leaving;

    /**
     * Every wake-up that was asked for and has not come. Guards against losing one: the decisions
     * may ask for a later one while an earlier is still due, and would not ask again. One kept time
     * let accesses wait for ever once traffic ended.
     */
    private final PriorityQueue<Long> alarms = new PriorityQueue<>();

    private long overdueAt;
    private long paintAt;
    private long paintNanos;
    private long paintSince;
    private double paintCosts;
    private long turnAt;

    /** Until when this loop stands still, and what is told then; 0 where it does not. */
    private long stillUntil;

    private Runnable afterStill;

    /**
     * @param world whose clock it goes by, and who may run its turns
     * @param instead of {@link RequestScheduler}, in a lab; null in service
     */
    public EventLoop(
            InitiatorConfig setup,
            LoopEnvironment around,
            ExecutionEnvironment world,
            Counters counts,
            Supplier<Scheduler> instead) {
        decisions = instead == null ? decide::decide : instead.get();
        this.world = world;
        clock = world::monotonicMicros;
        drive = world.newLoopDriver(this::advance);
        this.setup = setup;
        this.around = around;
        this.counts = counts;
        queue = new MpscArrayQueue<>(setup.capacity().queue());
        roomForAccesses = queue.capacity() - queue.capacity() / 4;
        lifecycle =
                new Lifecycle(
                        new Lifecycle.Thresholds(
                                setup.capacity().listAge(),
                                setup.capacity().full(),
                                setup.capacity().eased(),
                                1_000_000));
        accounts = new ServiceStatistics(setup.deployment().scheduler(), around.isWatched());
        painter = new SnapshotBuilder(setup.name(), decide, accounts);
        ledger =
                new RequestTracker(
                        setup.name() + "." + clock.getAsLong() + ".",
                        setup.deployment().answerSlackMicros(),
                        counts,
                        around::releaseSlot,
                        accounts,
                        clock,
                        outbox);
        links = new AttemptDispatcher(setup.transport(), around, ledger, counts, outbox);
        roster =
                new EndpointRegistry(
                        new EndpointRegistry.TargetListener() {
                            @Override
                            public void onListed(String target, Address address) {
                                links.targetListed(target, address);
                            }

                            @Override
                            public void onDraining(String target) {
                                links.targetDraining(clock.getAsLong(), target);
                            }

                            @Override
                            public void onUnlisted(String target) {
                                links.targetUnlisted(clock.getAsLong(), target);
                            }
                        });
        ledger.setAttemptSender(new Outlets());
        thread = drive == null ? new Thread(this::run, setup.name() + "-loop") : null;
    }

    /** What is decided, on its way out. */
    private final class Outlets implements RequestTracker.AttemptSender {
        @Override
        public void sendAttempt(
                String target, String id, int attempt, long giveUpAt, Attempt.Builder relay) {
            links.sendAttempt(clock.getAsLong(), target, id, attempt, giveUpAt, relay);
        }

        @Override
        public void cancelAttempt(String id, int attempt) {
            links.cancelAttempt(clock.getAsLong(), id, attempt);
        }

        @Override
        public void dropUnsent(String id, int attempt) {
            links.dropUnsent(clock.getAsLong(), id, attempt);
        }

        @Override
        public void sendProbe(String target) {
            links.sendProbe(clock.getAsLong(), target);
        }

        @Override
        public void scheduleWakeUp(long in) {
            alarms.add(turnAt + in);
        }

        @Override
        public void watchEndpoints() {
            around.watchEndpoints(roster.revision());
        }
    }

    /**
     * Starts the life of the initiator.
     *
     * @param restored the list as last held, null for none
     */
    public void start(long seed, EndpointList restored) {
        ledger.addEvent(new Event.Started(seed, setup.deployment().scheduler()));
        EndpointList known = restored == null ? EndpointList.getDefaultInstance() : restored;
        ledger.addEvent(roster.apply(clock.getAsLong(), known, true));
        if (restored != null) {
            fact(new LifecycleEvent.EndpointListReceived(roster.usableCount(), true));
        }
        paint(clock.getAsLong());
        if (drive == null) {
            thread.setDaemon(true);
            thread.start();
        } else {
            drive.wakeUp();
        }
    }

    // ---- Other threads ----

    /** Offers an access; false where the queue has no room for it, and then it was not taken. */
    public boolean offer(LoopMessage.RequestReceived access) {
        if (queue.size() > roomForAccesses || !queue.offer(access)) {
            return false;
        }
        wakeUp();
        if (hasEnded()) {
            turnAway(); // the loop may have looked for the last time before this one was there
        }
        return true;
    }

    /**
     * Rejects what came too late for a loop that has ended. Guards an access that its socket's
     * thread hands over just as the loop ends, or after the loop failed: nobody would take it, and
     * its client would have no answer.
     */
    private synchronized void turnAway() {
        if (killed) {
            return;
        }
        for (LoopMessage told = queue.poll(); told != null; told = queue.poll()) {
            if (told instanceof LoopMessage.RequestReceived t) {
                counts.increment(Counter.REJECTED_STATE);
                around.releaseSlot(t.client(), t.request(), 0);
                t.client()
                        .send(
                                Frame.newBuilder()
                                        .setResponse(
                                                Response.newBuilder()
                                                        .setNumber(t.request().getNumber())
                                                        .setStatus(ResponseStatus.REJECTED)
                                                        .setReason(Reason.SHUTTING_DOWN))
                                        .build());
            }
        }
    }

    /**
     * Tells what must not be lost. Where the queue is full the caller waits until the loop has
     * taken some, and so its peer is held back by its connection; the last quarter is kept free of
     * accesses for this.
     */
    public void post(LoopMessage told) {
        if (drive != null || Thread.currentThread() == thread) {
            own.add(told); // the loop cannot wait for itself
            wakeUp();
            return;
        }
        while (!queue.offer(told)) {
            if (ended.getCount() == 0 || killed) {
                return;
            }
            wakeUp();
            LockSupport.parkNanos(20_000);
        }
        wakeUp();
    }

    private void wakeUp() {
        if (drive != null) {
            drive.wakeUp();
        } else if (parked) {
            LockSupport.unpark(thread);
        }
    }

    /** Stops at once, as a kill would: nothing held is answered. */
    public void kill() {
        killed = true;
        LockSupport.unpark(thread);
    }

    /** Waits for the loop's end. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        for (long until = clock.getAsLong() + millis * 1000; drive != null && !hasEnded(); ) {
            if (clock.getAsLong() >= until) {
                return false;
            }
            world.sleep(1_000);
        }
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    public boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /** Holds the loop, as a long pause of this process would. @param micros how long */
    public void stall(long micros, Runnable afterwards) {
        post(
                new LoopMessage.RunTask(
                        () -> {
                            stillUntil = clock.getAsLong() + micros;
                            afterStill = afterwards;
                        }));
    }

    /** What ended the loop though nobody asked for it; null where nothing did. */
    public Throwable fault() {
        return fault;
    }

    // ---- The loop's own thread ----

    private void run() {
        try {
            while (!isOver()) {
                if (turn()) {
                    sleep(clock.getAsLong());
                }
            }
        } catch (RuntimeException | Error thrown) {
            failed(thrown);
        } finally {
            end();
        }
    }

    /** As {@link #run}, for a drive: goes on until there is nothing to do now. */
    private long advance() {
        if (hasEnded() || killed) {
            return Long.MAX_VALUE;
        }
        try {
            boolean idle = false;
            while (!isOver() && !idle) {
                idle = turn();
            }
            if (!isOver()) {
                return Math.max(clock.getAsLong() + 1, nextDue(clock.getAsLong()));
            }
        } catch (RuntimeException | Error thrown) {
            failed(thrown);
        }
        end();
        return Long.MAX_VALUE;
    }

    private boolean isOver() {
        return killed || leaving && ledger.unansweredCount() == 0 && !ledger.hasEvents();
    }

    private void failed(Throwable thrown) {
        fault = thrown;
        LOG.error("the loop failed; everything held is broken off", thrown);
        ledger.failAll();
        outbox.flush();
    }

    private void end() {
        ended.countDown();
        turnAway();
    }

    /** One turn; true where there is nothing more to do before something happens or comes due. */
    private boolean turn() {
        if (stillUntil > 0) {
            if (clock.getAsLong() < stillUntil) {
                return true;
            }
            stillUntil = 0;
            afterStill.run();
        }
        int took = 0;
        // Guards what lies beyond one turn's part: a loop that took the next one before it looked
        // at the count dropped it,
        // so that under a flood one thing told in a thousand was lost, an access or a reply among
        // them.
        for (LoopMessage told; took < MOST_A_TURN && (told = next()) != null; took++) {
            learn(told);
            if (stillUntil > 0) {
                return false;
            }
        }
        long now = clock.getAsLong();
        links.handleTimeouts(now);
        if (now >= overdueAt) {
            overdueAt = now + LONGEST_SLEEP;
            ledger.closeOverdue(now);
        }
        if (now >= paintAt) {
            paint(now);
        }
        if (nextAlarm() <= now) {
            while (nextAlarm() <= now) {
                alarms.poll();
            }
            ledger.addEvent(new Event.WakeUp());
        }
        if (ledger.hasEvents()) {
            decide(now);
        }
        outbox.flush();
        return took == 0 && !ledger.hasEvents();
    }

    private long nextAlarm() {
        return alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek();
    }

    private LoopMessage next() {
        LoopMessage told = own.poll();
        return told != null ? told : queue.poll();
    }

    private void decide(long now) {
        counts.increment(Counter.TURNS);
        turnAt = now;
        List<Action> actions = decisions.decide(now, ledger.drainEvents());
        ledger.execute(now, actions);
        long took = Math.min(60_000_000, clock.getAsLong() - now);
        turnTimes.recordValue(took);
        recent.recordValue(took);
    }

    private void sleep(long now) {
        long until = nextDue(now);
        parked = true;
        if ((queue.isEmpty() && own.isEmpty() || stillUntil > 0) && !killed && until > now) {
            LockSupport.parkNanos(this, (until - now) * 1000);
        }
        parked = false;
    }

    private long nextDue(long now) {
        return stillUntil > 0
                ? stillUntil
                : Math.min(
                        Math.min(nextAlarm(), Math.min(paintAt, links.nextDueMicros())),
                        now + LONGEST_SLEEP);
    }

    private void learn(LoopMessage told) {
        long now = clock.getAsLong();
        if (told instanceof LoopMessage.RequestReceived t) {
            ledger.receive(now, t.receivedAtMicros(), t.client(), t.request());
        } else if (told instanceof LoopMessage.RequestCancelled t) {
            ledger.requestCancelled(t.client(), t.number());
        } else if (told instanceof LoopMessage.ClientDisconnected t) {
            ledger.clientDisconnected(t.client());
        } else if (told instanceof LoopMessage.ConnectSucceeded t) {
            links.connectSucceeded(now, t.target(), t.connectNumber(), t.connection());
        } else if (told instanceof LoopMessage.ConnectFailed t) {
            links.connectFailed(now, t.target(), t.connectNumber(), t.reason());
        } else if (told instanceof LoopMessage.ConnectionLost t) {
            links.connectionLost(now, t.target(), t.connection(), t.refused(), t.unwritten());
        } else if (told instanceof LoopMessage.AttemptReplied t) {
            links.attemptReplied(now, t.receivedAtMicros(), t.connection(), t.reply());
        } else if (told instanceof LoopMessage.ProbeReplied t) {
            links.probeReplied(now, t.receivedAtMicros(), t.connection(), t.number(), t.load());
        } else if (told instanceof LoopMessage.EndpointListReceived t) {
            counts.increment(Counter.ENDPOINT_LISTS);
            ledger.addEvent(roster.apply(now, t.list(), false));
            painter.happened(
                    now,
                    "list",
                    "version "
                            + t.list().getRevision()
                            + ", "
                            + t.list().getScope().name().toLowerCase()
                            + " of "
                            + t.list().getTargetCount(),
                    null);
            fact(new LifecycleEvent.EndpointListReceived(roster.usableCount(), false));
            around.endpointListChanged(roster.snapshot());
        } else if (told instanceof LoopMessage.DiscoveryUnavailable t) {
            counts.increment(Counter.DISCOVERY_UNAVAILABLE);
            ledger.addEvent(new Event.EndpointListReceived(Event.ListScope.UNAVAILABLE, List.of()));
            painter.happened(now, "list", "unavailable: " + t.reason(), null);
            fact(new LifecycleEvent.DiscoveryUnavailable());
        } else if (told instanceof LoopMessage.BeginShutdown) {
            leaving = true;
            fact(new LifecycleEvent.ShutdownRequested());
        } else if (told instanceof LoopMessage.ApplySettings t) {
            accounts.provision(t.settings());
            ledger.addEvent(new Event.SettingsChanged(t.settings()));
            painter.happened(now, "configuration", "a new version holds", null);
            around.settingsApplied(t.settings());
        } else if (told instanceof LoopMessage.DrainInitiator t) {
            fact(
                    t.drained()
                            ? new LifecycleEvent.DrainRequested(t.operator())
                            : new LifecycleEvent.DrainCancelled(t.operator()));
        } else if (told instanceof LoopMessage.DrainTarget t) {
            drainTarget(now, t);
        } else if (told instanceof LoopMessage.RunTask t) {
            t.task().run();
        }
    }

    private void drainTarget(long now, LoopMessage.DrainTarget t) {
        Event.EndpointListReceived change = roster.setDrained(now, t.target(), t.drained());
        if (change != null) {
            ledger.addEvent(change);
            painter.happened(
                    now,
                    "operator",
                    t.target()
                            + (t.drained() ? " drained here by " : " put back by ")
                            + t.operator(),
                    null);
            fact(new LifecycleEvent.EndpointListReceived(roster.usableCount(), false));
        }
    }

    private void fact(LifecycleEvent fact) {
        lifecycleState = lifecycle.apply(clock.getAsLong(), fact);
    }

    /** Makes the picture that everybody else reads; what it cost is in the next one. */
    private void paint(long now) {
        long began = System.nanoTime();
        paintAt = now + PAINT_EVERY;
        fact(new LifecycleEvent.UtilizationMeasured(around.utilization()));
        fact(new LifecycleEvent.Tick());
        if (snapshot != null && (drive != null || !around.isWatched())) {
            return; // nobody looks in a lab, and a picture costs what the targets and volumes are
            // many
        }
        snapshot =
                painter.paint(
                        now,
                        new SnapshotBuilder.Loop(
                                lifecycle,
                                around.slotsInUse(),
                                ledger.trackedCount(),
                                links.outstandingCount(),
                                around.utilization(),
                                roster.revision(),
                                recent,
                                paintCosts,
                                ledger.latestDecisions(),
                                roster::healthLabel,
                                roster::isDrainedByOperator));
        paintNanos += System.nanoTime() - began;
        if (now - paintSince >= 5_000_000) {
            paintCosts = paintSince == 0 ? 0 : paintNanos / 1e3 / (now - paintSince);
            paintNanos = 0;
            paintSince = now;
            recent.reset();
        }
    }

    /** What this daemon is now; any thread may ask. */
    public LifecycleState lifecycleState() {
        return lifecycleState;
    }

    /** The latest picture; any thread may ask, and the loop is not disturbed by it. */
    public StatusSnapshot snapshot() {
        return snapshot;
    }

    /** Rows of the last seconds, oldest first; any thread may ask. */
    public List<ServiceStatistics.Row> rows(int seconds) {
        return accounts.rows(clock.getAsLong(), seconds);
    }

    /** Whether the list, as of the latest picture, has such a target. */
    public boolean knows(String target) {
        return snapshot.targets().stream().anyMatch(t -> t.look().id().equals(target));
    }

    /** Shows figures of the loop to a reader, on the loop's thread. */
    public void show(Consumer<Figures> reader) {
        post(
                new LoopMessage.RunTask(
                        () ->
                                reader.accept(
                                        new Figures(
                                                ledger.trackedCount(),
                                                ledger.unansweredCount(),
                                                links.outstandingCount(),
                                                roster.size(),
                                                roster.revision(),
                                                turnTimes.copy()))));
    }

    /**
     * The loop at one moment.
     *
     * @param turnTimes microseconds of each turn's decisions and what was done on them
     */
    public record Figures(
            int pendingRequests,
            int unanswered,
            int out,
            int targets,
            long version,
            Histogram turnTimes) {}
}
