package milletyoke.gateway.loop;

import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import milletyoke.Decide;
import milletyoke.gateway.link.Dialler;
import milletyoke.gateway.link.Links;
import milletyoke.gateway.link.Outbox;
import milletyoke.gateway.picture.Accounts;
import milletyoke.gateway.picture.Painter;
import milletyoke.gateway.picture.Picture;
import milletyoke.gateway.setup.Address;
import milletyoke.gateway.setup.Setup;
import milletyoke.lifecycle.Condition;
import milletyoke.lifecycle.Fact;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.port.Action;
import milletyoke.port.Decisions;
import milletyoke.port.Event;
import milletyoke.wire.Line;
import milletyoke.wire.World;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Final;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Relay;
import milletyoke.wire.proto.TargetList;
import org.HdrHistogram.Histogram;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns {@link Decide} and all that it decides on. Others tell it what happened
 * through a bounded queue without locks; it never waits for a socket or a disk.
 */
public final class Loop {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);

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
    public interface Surroundings extends Dialler {
        /** Ask discovery to tell every change from this version on. */
        void follow(long version);

        /** The list changed; to be kept where a folder lasts, off the loop's thread. */
        void listHeld(TargetList whole);

        /** An access no longer takes a place. */
        void freePlace(Line client, Access access, long stay);

        /** New plans and categories are known to the decisions and may be asked for. */
        void provisioned(milletyoke.port.Provisioning provisioning);

        /** The part of room that is taken, 0 to 1. */
        double roomUsed();

        /** Places taken. */
        int placesTaken();

        /**
         * Whether anybody may look at pictures and rows; where nobody can, none are made and
         * nothing is kept for them.
         */
        default boolean isWatched() {
            return true;
        }
    }

    private final Setup setup;
    private final Surroundings around;
    private final World world;
    private final LongSupplier clock;

    /** Runs the turns where there is no thread; null in service. */
    private final World.Drive drive;

    private final Counts counts;
    private final MpscArrayQueue<Told> queue;
    private final int roomForAccesses;
    private final Decide decide = new Decide();
    private final Decisions decisions;
    private final Lifecycle lifecycle;
    private final Accounts accounts;
    private final Painter painter;
    private final Ledger ledger;
    private final Links links;
    private final Outbox outbox = new Outbox();
    private final Roster roster;
    private final Histogram turnTimes = new Histogram(60_000_000, 3);
    private final Histogram recent = new Histogram(60_000_000, 2);
    private final Thread thread;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final java.util.ArrayDeque<Told> own = new java.util.ArrayDeque<>();
    private volatile boolean parked;
    private volatile boolean killed;
    private volatile Throwable fault;
    private volatile Condition condition = Condition.STARTING;
    private volatile Picture picture;
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
     * @param instead of {@link Decide}, in a lab; null in service
     */
    public Loop(
            Setup setup,
            Surroundings around,
            World world,
            Counts counts,
            Supplier<Decisions> instead) {
        decisions = instead == null ? decide::decide : instead.get();
        this.world = world;
        clock = world::micros;
        drive = world.drive(this::advance);
        this.setup = setup;
        this.around = around;
        this.counts = counts;
        queue = new MpscArrayQueue<>(setup.room().queue());
        roomForAccesses = queue.capacity() - queue.capacity() / 4;
        lifecycle =
                new Lifecycle(
                        new Lifecycle.Marks(
                                setup.room().listAge(),
                                setup.room().full(),
                                setup.room().eased(),
                                1_000_000));
        accounts = new Accounts(setup.deployment().provisioning(), around.isWatched());
        painter = new Painter(setup.name(), decide, accounts);
        ledger =
                new Ledger(
                        setup.name() + "." + clock.getAsLong() + ".",
                        setup.deployment().answerSlack(),
                        counts,
                        around::freePlace,
                        accounts,
                        clock,
                        outbox);
        links = new Links(setup.transport(), around, ledger, counts, outbox);
        roster =
                new Roster(
                        new Roster.Addresses() {
                            @Override
                            public void listed(String target, Address address) {
                                links.listed(target, address);
                            }

                            @Override
                            public void draining(String target) {
                                links.takesNothingNew(clock.getAsLong(), target);
                            }

                            @Override
                            public void unlisted(String target) {
                                links.unlisted(clock.getAsLong(), target);
                            }
                        });
        ledger.connect(new Outlets());
        thread = drive == null ? new Thread(this::run, setup.name() + "-loop") : null;
    }

    /** What is decided, on its way out. */
    private final class Outlets implements Ledger.Outlet {
        @Override
        public void relay(
                String target, String id, int attempt, long giveUpAt, Relay.Builder relay) {
            links.relay(clock.getAsLong(), target, id, attempt, giveUpAt, relay);
        }

        @Override
        public void cancel(String id, int attempt) {
            links.cancel(clock.getAsLong(), id, attempt);
        }

        @Override
        public void dropUnsent(String id, int attempt) {
            links.dropUnsent(clock.getAsLong(), id, attempt);
        }

        @Override
        public void probe(String target) {
            links.probe(clock.getAsLong(), target);
        }

        @Override
        public void wake(long in) {
            alarms.add(turnAt + in);
        }

        @Override
        public void follow() {
            around.follow(roster.version());
        }
    }

    /**
     * Starts the life of the initiator.
     *
     * @param restored the list as last held, null for none
     */
    public void start(long seed, TargetList restored) {
        ledger.happened(new Event.Start(seed, setup.deployment().provisioning()));
        TargetList known = restored == null ? TargetList.getDefaultInstance() : restored;
        ledger.happened(roster.listed(clock.getAsLong(), known, true));
        if (restored != null) {
            fact(new Fact.Listed(roster.usable(), true));
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
    public boolean offer(Told.Taken access) {
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
        for (Told told = queue.poll(); told != null; told = queue.poll()) {
            if (told instanceof Told.Taken t) {
                counts.add(Count.REJECTED_CONDITION);
                around.freePlace(t.client(), t.access(), 0);
                t.client()
                        .send(
                                Frame.newBuilder()
                                        .setAnswer(
                                                Answer.newBuilder()
                                                        .setNumber(t.access().getNumber())
                                                        .setFinal(Final.REJECTED)
                                                        .setReason(Reason.LEAVING))
                                        .build());
            }
        }
    }

    /**
     * Tells what must not be lost. Where the queue is full the caller waits until the loop has
     * taken some, and so its peer is held back by its connection; the last quarter is kept free of
     * accesses for this.
     */
    public void tell(Told told) {
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
    public void standStill(long micros, Runnable afterwards) {
        tell(
                new Told.Do(
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
        return killed || leaving && ledger.unanswered() == 0 && !ledger.hasEvents();
    }

    private void failed(Throwable thrown) {
        fault = thrown;
        LOG.error("the loop failed; everything held is broken off", thrown);
        ledger.breakOffAll();
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
        for (Told told; took < MOST_A_TURN && (told = next()) != null; took++) {
            learn(told);
            if (stillUntil > 0) {
                return false;
            }
        }
        long now = clock.getAsLong();
        links.look(now);
        if (now >= overdueAt) {
            overdueAt = now + LONGEST_SLEEP;
            ledger.endOverdue(now);
        }
        if (now >= paintAt) {
            paint(now);
        }
        if (nextAlarm() <= now) {
            while (nextAlarm() <= now) {
                alarms.poll();
            }
            ledger.happened(new Event.Alarm());
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

    private Told next() {
        Told told = own.poll();
        return told != null ? told : queue.poll();
    }

    private void decide(long now) {
        counts.add(Count.TURNS);
        turnAt = now;
        List<Action> actions = decisions.decide(now, ledger.drain());
        ledger.carryOut(now, actions);
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
                        Math.min(nextAlarm(), Math.min(paintAt, links.nextDue())),
                        now + LONGEST_SLEEP);
    }

    private void learn(Told told) {
        long now = clock.getAsLong();
        if (told instanceof Told.Taken t) {
            ledger.taken(now, t.at(), t.client(), t.access());
        } else if (told instanceof Told.Left t) {
            ledger.left(t.client(), t.number());
        } else if (told instanceof Told.ClientGone t) {
            ledger.clientGone(t.client());
        } else if (told instanceof Told.Dialled t) {
            links.dialled(now, t.target(), t.dial(), t.line());
        } else if (told instanceof Told.DialFailed t) {
            links.dialFailed(now, t.target(), t.dial(), t.why());
        } else if (told instanceof Told.LinkLost t) {
            links.lost(now, t.target(), t.line(), t.refused(), t.unwritten());
        } else if (told instanceof Told.Replied t) {
            links.replied(now, t.at(), t.line(), t.reply());
        } else if (told instanceof Told.ProbeReplied t) {
            links.probeReplied(now, t.at(), t.line(), t.number(), t.load());
        } else if (told instanceof Told.Listed t) {
            counts.add(Count.LISTS);
            ledger.happened(roster.listed(now, t.list(), false));
            painter.happened(
                    now,
                    "list",
                    "version "
                            + t.list().getVersion()
                            + ", "
                            + t.list().getScope().name().toLowerCase()
                            + " of "
                            + t.list().getTargetCount(),
                    null);
            fact(new Fact.Listed(roster.usable(), false));
            around.listHeld(roster.whole());
        } else if (told instanceof Told.ListUnavailable t) {
            counts.add(Count.LISTS_UNAVAILABLE);
            ledger.happened(new Event.TargetList(Event.Scope.UNAVAILABLE, List.of()));
            painter.happened(now, "list", "unavailable: " + t.why(), null);
            fact(new Fact.ListUnavailable());
        } else if (told instanceof Told.Leave) {
            leaving = true;
            fact(new Fact.Leave());
        } else if (told instanceof Told.Reprovision t) {
            accounts.provision(t.provisioning());
            ledger.happened(new Event.Reprovisioned(t.provisioning()));
            painter.happened(now, "configuration", "a new version holds", null);
            around.provisioned(t.provisioning());
        } else if (told instanceof Told.Drain t) {
            fact(t.on() ? new Fact.Drain(t.who()) : new Fact.Undrain(t.who()));
        } else if (told instanceof Told.DrainTarget t) {
            drainTarget(now, t);
        } else if (told instanceof Told.Do t) {
            t.task().run();
        }
    }

    private void drainTarget(long now, Told.DrainTarget t) {
        Event.TargetList change = roster.drain(now, t.target(), t.on());
        if (change != null) {
            ledger.happened(change);
            painter.happened(
                    now,
                    "operator",
                    t.target() + (t.on() ? " drained here by " : " put back by ") + t.who(),
                    null);
            fact(new Fact.Listed(roster.usable(), false));
        }
    }

    private void fact(Fact fact) {
        condition = lifecycle.tell(clock.getAsLong(), fact);
    }

    /** Makes the picture that everybody else reads; what it cost is in the next one. */
    private void paint(long now) {
        long began = System.nanoTime();
        paintAt = now + PAINT_EVERY;
        fact(new Fact.Used(around.roomUsed()));
        fact(new Fact.Tick());
        if (picture != null && (drive != null || !around.isWatched())) {
            return; // nobody looks in a lab, and a picture costs what the targets and volumes are
            // many
        }
        picture =
                painter.paint(
                        now,
                        new Painter.Loop(
                                lifecycle,
                                around.placesTaken(),
                                ledger.held(),
                                links.out(),
                                around.roomUsed(),
                                roster.version(),
                                recent,
                                paintCosts,
                                ledger.latest(),
                                roster::listedAs,
                                roster::isDrainedHere));
        paintNanos += System.nanoTime() - began;
        if (now - paintSince >= 5_000_000) {
            paintCosts = paintSince == 0 ? 0 : paintNanos / 1e3 / (now - paintSince);
            paintNanos = 0;
            paintSince = now;
            recent.reset();
        }
    }

    /** What this daemon is now; any thread may ask. */
    public Condition condition() {
        return condition;
    }

    /** The latest picture; any thread may ask, and the loop is not disturbed by it. */
    public Picture picture() {
        return picture;
    }

    /** Rows of the last seconds, oldest first; any thread may ask. */
    public List<Accounts.Row> rows(int seconds) {
        return accounts.rows(clock.getAsLong(), seconds);
    }

    /** Whether the list, as of the latest picture, has such a target. */
    public boolean knows(String target) {
        return picture.targets().stream().anyMatch(t -> t.look().id().equals(target));
    }

    /** Shows figures of the loop to a reader, on the loop's thread. */
    public void show(Consumer<Figures> reader) {
        tell(
                new Told.Do(
                        () ->
                                reader.accept(
                                        new Figures(
                                                ledger.held(),
                                                ledger.unanswered(),
                                                links.out(),
                                                roster.size(),
                                                roster.version(),
                                                turnTimes.copy()))));
    }

    /**
     * The loop at one moment.
     *
     * @param turnTimes microseconds of each turn's decisions and what was done on them
     */
    public record Figures(
            int held, int unanswered, int out, int targets, long version, Histogram turnTimes) {}
}
