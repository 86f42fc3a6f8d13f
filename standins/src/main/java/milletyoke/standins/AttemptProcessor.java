package milletyoke.standins;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;

/**
 * Queues and executes the attempts of a target. Methods are called with the target's lock held
 * unless documented otherwise.
 */
final class AttemptProcessor {
    /** The time to recognize an attempt that was already executed. */
    private static final long DEDUPLICATION_MICROS = 200;

    private final Object lock;
    private final String id;
    private final int shard;
    private final TargetBehavior behavior;
    private final TargetFaults faults;
    private final SplittableRandom random;
    private final ExecutionEnvironment environment;
    private final DelayedTasks tasks;
    private final Function<String, DeduplicationCache> deduplicationCacheOf;
    private final ExecutionListener executionListener;
    private final WarmUp warmUp;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<String> cachedExtents = new ArrayDeque<>();
    private int incarnation;
    private boolean isUp;
    private double deferredWorkMicros;
    private long stalledUntilMicros;

    /** Whether overload during warm-up made the target unresponsive until its next start. */
    private boolean hasCollapsed;

    private record Job(
            PeerConnection connection, Attempt attempt, long arrivedAtMicros, int incarnation) {}

    /**
     * @param lock the target's lock; tasks on the executor acquire it
     */
    AttemptProcessor(
            Object lock,
            String id,
            int shard,
            TargetBehavior behavior,
            TargetFaults faults,
            SplittableRandom random,
            ExecutionEnvironment environment,
            DelayedTasks tasks,
            Function<String, DeduplicationCache> deduplicationCacheOf,
            ExecutionListener executionListener) {
        this.lock = lock;
        this.id = id;
        this.shard = shard;
        this.behavior = behavior;
        this.faults = faults;
        this.random = random;
        this.environment = environment;
        this.tasks = tasks;
        this.deduplicationCacheOf = deduplicationCacheOf;
        this.executionListener = executionListener;
        warmUp = new WarmUp(behavior);
    }

    /** Starts a new incarnation. */
    void start(boolean isCold) {
        incarnation++;
        isUp = true;
        hasCollapsed = false;
        warmUp.start(isCold, environment.monotonicMicros());
    }

    /** Ends the incarnation and discards its state. */
    void stop() {
        isUp = false;
        incarnation++;
        discardPending();
        cachedExtents.clear();
        deferredWorkMicros = 0;
    }

    /** Drops all queued and running attempts without a reply. */
    void discardPending() {
        queue.clear();
        running.clear();
    }

    boolean isUp() {
        return isUp;
    }

    /** Returns the incarnation number, which grows with each start and each stop. */
    int incarnation() {
        return incarnation;
    }

    /** Returns whether the target replies at all. */
    boolean isResponsive() {
        return !faults.isHanging() && !hasCollapsed && isUp;
    }

    double warmUpBudgetUsed() {
        return warmUp.highestBudgetUse();
    }

    /** Stalls the target: no attempt begins or ends for the given time. */
    void stall(long micros) {
        stalledUntilMicros = Math.max(stalledUntilMicros, environment.monotonicMicros() + micros);
    }

    long remainingStallMicros() {
        return Math.max(0, stalledUntilMicros - environment.monotonicMicros());
    }

    /** Performs the deferred work of writes, during which the target is stalled. */
    void performDeferredWork() {
        long micros = (long) (deferredWorkMicros / behavior.speed() / behavior.cores());
        deferredWorkMicros = 0;
        if (micros > 0) {
            stall(micros);
        }
    }

    /**
     * Returns the outcome if it is known immediately; null if the attempt was queued, is running,
     * or will never be answered.
     */
    Outcome admit(PeerConnection connection, Attempt attempt) {
        long now = environment.monotonicMicros();
        collapseIfOverloaded(now, attempt.getUnits());
        if (!isResponsive()) {
            return null;
        }
        if (attempt.hasShard() && attempt.getShard() != shard) {
            return Outcome.NOT_STARTED;
        }
        if (isFaultDrawn(faults.errorFraction())) {
            executeWithEvenOdds(attempt, now);
            return Outcome.ERROR;
        }
        if (isFaultDrawn(faults.droppedReplyFraction())) {
            executeWithEvenOdds(attempt, now);
            return null;
        }
        Job job = new Job(connection, attempt, now, incarnation);
        if (running.size() < behavior.cores()) {
            begin(job, now);
        } else if (queue.size() < behavior.queueCapacity()) {
            queue.add(job);
        } else {
            return Outcome.OVERLOADED;
        }
        return null;
    }

    private boolean isFaultDrawn(double fraction) {
        return fraction > 0 && random.nextDouble() < fraction;
    }

    private void executeWithEvenOdds(Attempt attempt, long now) {
        if (random.nextBoolean()) {
            recordExecution(attempt, now);
        }
    }

    private void collapseIfOverloaded(long now, double units) {
        if (warmUp.addArrival(now, units) && !hasCollapsed) {
            hasCollapsed = true;
            executionListener.note(id, Note.Kind.OVERLOAD_COLLAPSE, "", warmUp.budgetUse());
        }
    }

    private void begin(Job job, long now) {
        Attempt attempt = job.attempt();
        if (now > job.arrivedAtMicros() + attempt.getTimeLeftMicros()) {
            // The deadline passed in the queue. The reply is deferred, as the lock is held here.
            tasks.execute(() -> reply(job.connection(), attempt, Outcome.NOT_STARTED));
            return;
        }
        running.add(job);
        if (!recordExecution(attempt, now)) {
            tasks.schedule(() -> finish(job), DEDUPLICATION_MICROS);
            return;
        }
        double work = drawWorkMicros(attempt);
        if (attempt.getWrite()) {
            deferredWorkMicros += work * behavior.deferredWriteFraction();
            work *= 1 - behavior.deferredWriteFraction();
        }
        double speed = behavior.speed();
        long duration =
                (long) (work * faults.slowdownFactor() / speed / warmUp.capacityFraction(now));
        tasks.schedule(() -> finish(job), Math.max(duration, stalledUntilMicros - now + duration));
    }

    /** Draws the work of an attempt at speed 1, including queueing penalty and cache saving. */
    private double drawWorkMicros(Attempt attempt) {
        double work =
                attempt.getUnits()
                        * behavior.unitMicros()
                        * behavior.workDistribution().factor(random.nextDouble())
                        * (1 + behavior.queueingPenalty() * queue.size());
        boolean isCacheable = !attempt.getExtent().isEmpty() && attempt.getAttemptNumber() == 0;
        if (isCacheable && cacheExtent(attempt.getExtent())) {
            work *= 1 - behavior.cachedExtentSaving();
        }
        return work;
    }

    /** Marks the extent as most recently used. Returns whether it was cached before. */
    private boolean cacheExtent(String extent) {
        boolean wasCached = cachedExtents.remove(extent);
        cachedExtents.addLast(extent);
        if (cachedExtents.size() > behavior.cachedExtents()) {
            cachedExtents.removeFirst();
        }
        return wasCached;
    }

    /** Records an execution. Returns false if the idempotency key was executed before. */
    private boolean recordExecution(Attempt attempt, long now) {
        DeduplicationCache cache = deduplicationCacheOf.apply(attempt.getRequestClass());
        boolean isFirst = cache == null || cache.recordExecution(attempt.getIdempotencyKey(), now);
        executionListener.note(
                id,
                isFirst ? Note.Kind.EXECUTED : Note.Kind.DEDUPLICATED,
                attempt.getIdempotencyKey() + " " + attempt.getRequestClass(),
                attempt.getAttemptNumber());
        return isFirst;
    }

    private void finish(Job job) {
        synchronized (lock) {
            long now = environment.monotonicMicros();
            if (job.incarnation() != incarnation || faults.isHanging() || hasCollapsed) {
                return;
            }
            if (now < stalledUntilMicros) {
                tasks.schedule(() -> finish(job), stalledUntilMicros - now);
                return;
            }
            if (!running.remove(job)) {
                return;
            }
            warmUp.addCompletedUnits(job.attempt().getUnits());
            while (running.size() < behavior.cores() && !queue.isEmpty()) {
                begin(queue.removeFirst(), now);
            }
        }
        reply(job.connection(), job.attempt(), Outcome.SUCCEEDED);
    }

    /** Removes an attempt from the queue; a running attempt is not affected. */
    void dropQueued(PeerConnection connection, long number) {
        queue.removeIf(
                job ->
                        Objects.equals(job.connection(), connection)
                                && job.attempt().getNumber() == number);
    }

    /** Sends a reply; called without the lock held. */
    void reply(PeerConnection connection, Attempt attempt, Outcome outcome) {
        Load load;
        synchronized (lock) {
            load = load();
        }
        connection.send(TargetReplies.attemptReply(attempt, outcome, load));
    }

    /** Returns the load report for replies; empty if the target does not report its load. */
    Load load() {
        return behavior.reportsLoad()
                ? TargetReplies.load(queue.size(), running.size() / (double) behavior.cores())
                : Load.getDefaultInstance();
    }
}
