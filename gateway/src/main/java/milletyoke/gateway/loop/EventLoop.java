package milletyoke.gateway.loop;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.dispatch.Connector;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.lifecycle.LifecycleEvent;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.wire.Connection;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Request;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns the {@link RequestScheduler} and all state that it decides on. Other
 * threads reach it through a bounded queue without locks; it never waits for a socket or a disk.
 *
 * <p>A turn handles the queued messages, ends what has timed out, publishes a status snapshot where
 * one is due, lets the scheduler decide on the events collected, executes its actions, and flushes
 * the frames written.
 *
 * <p>Shutdown, in this order:
 *
 * <ol>
 *   <li>{@link LoopMessage.BeginShutdown} moves the lifecycle to its last state, in which nothing
 *       is admitted;
 *   <li>turns go on until every tracked request has its response and no event is left;
 *   <li>the loop ends, which {@link #awaitEnd} reports;
 *   <li>requests that are in the queue by then or are offered later are rejected.
 * </ol>
 *
 * <p>{@link #kill} ends the loop after the turn in progress and answers nothing.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** How long a thread waits before it tries again to post to a full queue. */
    private static final long POST_RETRY_NANOS = 20_000;

    private static final long MICROS_PER_MILLI = 1_000;

    /** How often {@link #awaitEnd} looks whether a loop in virtual time has ended. */
    private static final long END_POLL_MICROS = 1_000;

    /** What the loop needs of the process around it; called on the loop's thread. */
    public interface LoopEnvironment extends Connector {
        /** Asks discovery for every change after this revision. */
        void watchEndpoints(long revision);

        /** The endpoint list changed; it is to be saved by another thread, if at all. */
        void endpointListChanged(EndpointList list);

        /**
         * A request no longer occupies an admission slot.
         *
         * @param stayMicros since the request was received
         */
        void releaseSlot(Connection client, Request request, long stayMicros);

        /** The scheduler knows new request classes and plans; requests may name them now. */
        void settingsApplied(SchedulerSettings settings);

        /** The part of the capacity that is in use, 0 to 1. */
        double utilization();

        /** Admission slots in use. */
        int slotsInUse();

        /**
         * Whether anybody can read snapshots and statistics; where nobody can, none are made and
         * nothing is kept for them.
         */
        default boolean isWatched() {
            return true;
        }
    }

    private final InitiatorConfig config;
    private final ExecutionEnvironment execution;
    private final LongSupplier clock;
    private final MessageQueue queue;
    private final LateRequestRejector lateRequestRejector;
    private final LoopThread thread;
    private final LoopComponents components;
    private final RequestTracker tracker;
    private final TurnRunner turns;
    private final StatusPublisher status;
    private final BooleanSupplier mayPark = this::mayPark;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean isKilled;
    private volatile Throwable fault;

    /**
     * Creates a loop that is not started.
     *
     * @param execution its clock, and what runs its turns where time is virtual
     * @param schedulerFactory makes the scheduler to use in place of {@link RequestScheduler}; null
     *     in service
     */
    public EventLoop(
            InitiatorConfig config,
            LoopEnvironment environment,
            ExecutionEnvironment execution,
            Counters counters,
            Supplier<Scheduler> schedulerFactory) {
        this.config = config;
        this.execution = execution;
        clock = execution::monotonicMicros;
        RequestScheduler requestScheduler = new RequestScheduler();
        Scheduler scheduler = schedulerFactory == null ? requestScheduler : schedulerFactory.get();
        queue = new MessageQueue(config.capacity().queueCapacity());
        lateRequestRejector = new LateRequestRejector(queue, environment, counters);
        ExecutionEnvironment.LoopDriver driver = execution.newLoopDriver(this::runWhileBusy);
        thread = new LoopThread(driver, this::run, config.name() + "-loop");
        components =
                new LoopComponents(
                        config, environment, clock, counters, requestScheduler, thread.isDriven());
        tracker = components.tracker;
        status = components.status;
        turns = new TurnRunner(clock, counters, queue, scheduler, components);
    }

    /**
     * Starts the loop.
     *
     * @param seed of the scheduler's random choices
     * @param restored the endpoint list as last saved, null for none
     */
    public void start(long seed, EndpointList restored) {
        tracker.addEvent(new Event.Started(seed, config.deployment().scheduler()));
        EndpointList known = restored == null ? EndpointList.getDefaultInstance() : restored;
        tracker.addEvent(components.registry.apply(clock.getAsLong(), known, true));
        if (restored != null) {
            status.apply(
                    new LifecycleEvent.EndpointListReceived(
                            components.registry.usableCount(), true));
        }
        status.publish(clock.getAsLong());
        thread.start();
    }

    // ---- Any thread ----

    /** Offers a request; false where the queue has no room for it, and nothing was done. */
    public boolean offer(LoopMessage.RequestReceived request) {
        if (!queue.offerRequest(request)) {
            return false;
        }
        thread.wakeUp();
        if (hasEnded()) {
            rejectQueuedRequests(); // the loop may have polled for the last time before
        }
        return true;
    }

    private synchronized void rejectQueuedRequests() {
        if (!isKilled) {
            lateRequestRejector.rejectQueued();
        }
    }

    /**
     * Posts a message that must not be lost. Where the queue is full the caller waits until the
     * loop has handled some, which applies back pressure to its peer; the last quarter of the queue
     * is kept free of requests for this.
     */
    public void post(LoopMessage message) {
        if (thread.isCurrent()) {
            queue.addLocal(message); // the loop cannot wait for itself
            thread.wakeUp();
            return;
        }
        while (!queue.offer(message)) {
            if (hasEnded() || isKilled) {
                return;
            }
            thread.wakeUp();
            LockSupport.parkNanos(POST_RETRY_NANOS);
        }
        thread.wakeUp();
    }

    /** Stops at once, as a kill of the process would: no tracked request is answered. */
    public void kill() {
        isKilled = true;
        thread.unpark();
    }

    /** Waits for the loop's end; false where it has not ended by then. */
    public boolean awaitEnd(long millis) throws InterruptedException {
        long untilMicros = clock.getAsLong() + millis * MICROS_PER_MILLI;
        while (thread.isDriven() && !hasEnded()) {
            if (clock.getAsLong() >= untilMicros) {
                return false;
            }
            execution.sleep(END_POLL_MICROS);
        }
        return ended.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Whether the loop has ended, for whatever reason. */
    public boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /**
     * Stalls the loop, as a long pause of the process would.
     *
     * @param afterwards is run on the loop's thread when the stall ends
     */
    public void stall(long micros, Runnable afterwards) {
        post(
                new LoopMessage.RunTask(
                        () -> turns.beginStall(clock.getAsLong() + micros, afterwards)));
    }

    /** What made the loop fail; null where it did not. */
    public Throwable fault() {
        return fault;
    }

    /** The initiator's current lifecycle state. */
    public LifecycleState lifecycleState() {
        return status.lifecycleState();
    }

    /** The latest status snapshot; reading it does not disturb the loop. */
    public StatusSnapshot snapshot() {
        return status.snapshot();
    }

    /** Statistics of the last seconds, oldest first. */
    public List<ServiceStatistics.Row> rows(int seconds) {
        return components.statistics.rows(clock.getAsLong(), seconds);
    }

    /** Whether the endpoint list has such a target, as of the latest snapshot. */
    public boolean knows(String target) {
        return snapshot().targets().stream().anyMatch(t -> t.view().id().equals(target));
    }

    /** Passes the loop's figures to a reader, on the loop's thread. */
    public void show(Consumer<Figures> reader) {
        post(new LoopMessage.RunTask(() -> reader.accept(figures())));
    }

    private Figures figures() {
        return new Figures(
                tracker.trackedCount(),
                tracker.unansweredCount(),
                components.dispatcher.outstandingCount(),
                components.registry.size(),
                components.registry.revision(),
                components.timings.copySinceStart());
    }

    // ---- The loop's own thread ----

    private void run() {
        try {
            while (!isOver()) {
                if (turns.runTurn()) {
                    sleep(clock.getAsLong());
                }
            }
        } catch (RuntimeException | Error thrown) {
            fail(thrown);
        } finally {
            end();
        }
    }

    /**
     * As {@link #run}, for a driver: runs turns until there is nothing to do now.
     *
     * @return when to run again (microseconds); Long.MAX_VALUE for never
     */
    private long runWhileBusy() {
        if (hasEnded() || isKilled) {
            return Long.MAX_VALUE;
        }
        try {
            boolean isIdle = false;
            while (!isOver() && !isIdle) {
                isIdle = turns.runTurn();
            }
            if (!isOver()) {
                return Math.max(clock.getAsLong() + 1, turns.nextDueMicros(clock.getAsLong()));
            }
        } catch (RuntimeException | Error thrown) {
            fail(thrown);
        }
        end();
        return Long.MAX_VALUE;
    }

    private boolean isOver() {
        return isKilled || (components.handler.isShutdownRequested() && hasAnsweredAll());
    }

    private boolean hasAnsweredAll() {
        return tracker.unansweredCount() == 0 && !tracker.hasEvents();
    }

    private void fail(Throwable thrown) {
        fault = thrown;
        LOG.error("the loop failed; every unanswered request is failed", thrown);
        tracker.failAll();
        components.writeBatch.flush();
    }

    private void end() {
        ended.countDown();
        rejectQueuedRequests();
    }

    private void sleep(long nowMicros) {
        thread.parkIf(mayPark, turns.nextDueMicros(nowMicros) - nowMicros);
    }

    private boolean mayPark() {
        return (queue.isEmpty() || turns.isStalled()) && !isKilled;
    }

    /**
     * The loop at one moment.
     *
     * @param pendingRequests requests that are tracked
     * @param unanswered those of them without a response
     * @param out attempts and probes without an outcome
     * @param targets targets in the endpoint list
     * @param version revision of the endpoint list
     * @param turnTimes microseconds that each turn's decisions and their execution took
     */
    public record Figures(
            int pendingRequests,
            int unanswered,
            int out,
            int targets,
            long version,
            Histogram turnTimes) {}
}
