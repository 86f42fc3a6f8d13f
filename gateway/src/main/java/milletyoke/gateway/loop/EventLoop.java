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
 * Single-threaded event loop that owns the {@link RequestScheduler} and all state that it decides
 * on. Other threads send it messages through a bounded lock-free queue. The loop never blocks on a
 * socket or a disk.
 *
 * <p>A turn handles the queued messages, ends timed-out attempts, publishes a status snapshot if
 * one is due, passes the collected events to the scheduler, executes the actions it returns, and
 * flushes the enqueued frames.
 *
 * <p>Shutdown proceeds in this order:
 *
 * <ol>
 *   <li>{@link LoopMessage.BeginShutdown} moves the lifecycle to its final state, in which no
 *       request is admitted;
 *   <li>turns continue until every tracked request is resolved and no event is pending;
 *   <li>the loop ends, and {@link #awaitEnd} returns;
 *   <li>requests still queued or offered later are rejected.
 * </ol>
 *
 * <p>{@link #kill} ends the loop after the turn in progress without any further response.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** How long a thread waits before it posts to a full queue again. */
    private static final long POST_RETRY_NANOS = 20_000;

    private static final long MICROS_PER_MILLI = 1_000;

    /** How often {@link #awaitEnd} checks whether a loop in virtual time has ended. */
    private static final long END_POLL_MICROS = 1_000;

    /** Services of the surrounding process. Called on the loop's thread. */
    public interface LoopEnvironment extends Connector {
        /** Watches discovery for every change after this revision. */
        void watchEndpoints(long revision);

        /**
         * Called when the endpoint list changed. An implementation that saves it must do so on
         * another thread.
         */
        void endpointListChanged(EndpointList list);

        /**
         * Releases the admission slot of a request.
         *
         * @param stayMicros time since the request was received
         */
        void releaseSlot(Connection client, Request request, long stayMicros);

        /**
         * Called when the scheduler has new request classes and plans, so that requests may name
         * them.
         */
        void settingsApplied(SchedulerSettings settings);

        /** Returns the share of the capacity that is in use, 0 to 1. */
        double utilization();

        /** Returns the number of admission slots in use. */
        int slotsInUse();

        /** Whether snapshots and statistics can be read; if not, neither is collected. */
        default boolean hasStatusReaders() {
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
     * Creates a loop; {@link #start} starts it.
     *
     * @param execution provides the clock and, in virtual time, runs the turns
     * @param schedulerFactory creates a scheduler to use instead of {@link RequestScheduler}; null
     *     in production
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
     * @param seed of the scheduler's random generator
     * @param restored the endpoint list that was last saved, null if none
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

    /** Offers a request; returns false, without any effect, if the queue has no room for it. */
    public boolean offer(LoopMessage.RequestReceived request) {
        if (!queue.offerRequest(request)) {
            return false;
        }
        thread.wakeUp();
        if (hasEnded()) {
            // The loop may have polled the queue for the last time before the offer.
            rejectQueuedRequests();
        }
        return true;
    }

    private synchronized void rejectQueuedRequests() {
        if (!isKilled) {
            lateRequestRejector.rejectQueued();
        }
    }

    /**
     * Posts a message that must not be lost. If the queue is full, the caller blocks until the loop
     * has handled some messages, which applies back pressure to the caller's peer. A quarter of the
     * queue is reserved for these messages and never holds requests.
     */
    public void post(LoopMessage message) {
        if (thread.isCurrent()) {
            queue.addLocal(message); // blocking on its own queue would deadlock the loop
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

    /** Stops the loop without responding to tracked requests, as a kill of the process would. */
    public void kill() {
        isKilled = true;
        thread.unpark();
    }

    /** Waits for the loop's end; returns false if it has not ended within the given time. */
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

    /** Whether the loop has ended, whether by shutdown, kill or failure. */
    public boolean hasEnded() {
        return ended.getCount() == 0;
    }

    /**
     * Stalls the loop, as a long pause of the process would; for scenarios.
     *
     * @param onEnd runs on the loop's thread when the stall ends
     */
    public void stall(long micros, Runnable onEnd) {
        post(new LoopMessage.RunTask(() -> turns.beginStall(clock.getAsLong() + micros, onEnd)));
    }

    /** Returns the exception that ended the loop; null if there was none. */
    public Throwable fault() {
        return fault;
    }

    /** Returns the initiator's current lifecycle state. */
    public LifecycleState lifecycleState() {
        return status.lifecycleState();
    }

    /** Returns the latest status snapshot, without involving the loop's thread. */
    public StatusSnapshot snapshot() {
        return status.snapshot();
    }

    /** Returns the statistics of the last seconds, oldest first. */
    public List<ServiceStatistics.Row> rows(int seconds) {
        return components.statistics.rows(clock.getAsLong(), seconds);
    }

    /** Whether the endpoint list contains the target, as of the latest snapshot. */
    public boolean hasTarget(String target) {
        return snapshot().targets().stream().anyMatch(listed -> listed.view().id().equals(target));
    }

    /** Passes the loop's metrics to a reader on the loop's thread. */
    public void readMetrics(Consumer<Metrics> reader) {
        post(new LoopMessage.RunTask(() -> reader.accept(metrics())));
    }

    private Metrics metrics() {
        return new Metrics(
                tracker.trackedCount(),
                tracker.unresolvedCount(),
                components.dispatcher.outstandingCount(),
                components.registry.size(),
                components.registry.revision(),
                components.timings.copySinceStart());
    }

    // ---- The loop's own thread ----

    private void run() {
        try {
            while (!shouldEnd()) {
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
     * Runs turns until the loop is idle; the counterpart of {@link #run} for a driver in virtual
     * time.
     *
     * @return time of the next run in microseconds; Long.MAX_VALUE for never
     */
    private long runWhileBusy() {
        if (hasEnded() || isKilled) {
            return Long.MAX_VALUE;
        }
        try {
            boolean isIdle = false;
            while (!shouldEnd() && !isIdle) {
                isIdle = turns.runTurn();
            }
            if (!shouldEnd()) {
                return Math.max(clock.getAsLong() + 1, turns.nextDueMicros(clock.getAsLong()));
            }
        } catch (RuntimeException | Error thrown) {
            fail(thrown);
        }
        end();
        return Long.MAX_VALUE;
    }

    private boolean shouldEnd() {
        return isKilled || (components.handler.isShutdownRequested() && hasResolvedAll());
    }

    private boolean hasResolvedAll() {
        return tracker.unresolvedCount() == 0 && !tracker.hasEvents();
    }

    private void fail(Throwable thrown) {
        fault = thrown;
        LOG.error("event loop failed; failing all pending requests", thrown);
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
     * Metrics of the loop at one moment.
     *
     * @param pendingRequests tracked requests
     * @param unresolved tracked requests that need a response
     * @param outstanding attempts and probes without an outcome
     * @param targets number of targets in the endpoint list
     * @param revision revision of the endpoint list
     * @param turnTimes microseconds that each turn took to decide and to execute its actions
     */
    public record Metrics(
            int pendingRequests,
            int unresolved,
            int outstanding,
            int targets,
            long revision,
            Histogram turnTimes) {}
}
