package milletyoke.gateway.loop;

import java.util.List;
import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.gateway.dispatch.WriteBatch;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Scheduler;

/**
 * Runs single turns of the event loop and determines when the next one is due. Owned by the event
 * loop.
 */
final class TurnRunner {
    /** Bounds a turn, so that a flood of messages does not delay responses. */
    private static final int MAX_MESSAGES_PER_TURN = 1024;

    /** Longest sleep, and interval between checks for requests past their deadline. */
    private static final long MAX_SLEEP_MICROS = 50_000;

    private final LongSupplier clock;
    private final Counters counters;
    private final MessageQueue queue;
    private final Scheduler scheduler;
    private final MessageHandler handler;
    private final RequestTracker tracker;
    private final AttemptDispatcher dispatcher;
    private final StatusPublisher status;
    private final WakeUpTimers wakeUpTimers;
    private final TurnTimings timings;
    private final WriteBatch writeBatch;
    private final LoopStall stall = new LoopStall();
    private long nextOverdueCheckMicros;

    TurnRunner(
            LongSupplier clock,
            Counters counters,
            MessageQueue queue,
            Scheduler scheduler,
            LoopComponents components) {
        this.clock = clock;
        this.counters = counters;
        this.queue = queue;
        this.scheduler = scheduler;
        handler = components.handler;
        tracker = components.tracker;
        dispatcher = components.dispatcher;
        status = components.status;
        wakeUpTimers = components.wakeUpTimers;
        timings = components.timings;
        writeBatch = components.writeBatch;
    }

    /**
     * Stalls the loop; messages wait in the queue until the stall ends.
     *
     * @param onEnd runs when the stall ends
     */
    void beginStall(long untilMicros, Runnable onEnd) {
        stall.begin(untilMicros, onEnd);
    }

    boolean isStalled() {
        return stall.isActive();
    }

    /**
     * Runs one turn; returns true if there is nothing to do until a message arrives or a timer is
     * due.
     */
    boolean runTurn() {
        if (stall.isActive()) {
            if (clock.getAsLong() < stall.untilMicros()) {
                return true;
            }
            stall.end();
        }
        int handledCount = handleMessages();
        if (stall.isActive()) {
            return false;
        }
        long nowMicros = clock.getAsLong();
        handleTimers(nowMicros);
        if (tracker.hasEvents()) {
            decide(nowMicros);
        }
        failOverdueIfDue(nowMicros);
        writeBatch.flush();
        return handledCount == 0 && !tracker.hasEvents();
    }

    /**
     * Handles queued messages up to the bound of a turn. The bound is checked before a message is
     * polled, because a message that is polled and not handled is lost.
     */
    private int handleMessages() {
        int handledCount = 0;
        while (handledCount < MAX_MESSAGES_PER_TURN && !stall.isActive()) {
            LoopMessage message = queue.poll();
            if (message == null) {
                break;
            }
            handler.handle(message);
            handledCount++;
        }
        return handledCount;
    }

    private void handleTimers(long nowMicros) {
        dispatcher.handleTimeouts(nowMicros);
        if (nowMicros >= status.nextSnapshotMicros()) {
            status.publish(nowMicros);
        }
        if (wakeUpTimers.removeDue(nowMicros)) {
            tracker.addEvent(new Event.WakeUp());
        }
    }

    private void failOverdueIfDue(long nowMicros) {
        if (nowMicros >= nextOverdueCheckMicros) {
            nextOverdueCheckMicros = nowMicros + MAX_SLEEP_MICROS;
            tracker.failOverdue(nowMicros);
        }
    }

    private void decide(long nowMicros) {
        counters.increment(Counter.TURNS);
        wakeUpTimers.startTurn(nowMicros);
        List<Action> actions = scheduler.decide(nowMicros, tracker.drainEvents());
        tracker.execute(nowMicros, actions);
        timings.recordTurn(clock.getAsLong() - nowMicros);
    }

    /** Returns when the next turn is due if no message arrives before. */
    long nextDueMicros(long nowMicros) {
        if (stall.isActive()) {
            return stall.untilMicros();
        }
        long nextTimer = Math.min(wakeUpTimers.nextDueMicros(), status.nextSnapshotMicros());
        return Math.min(
                Math.min(nextTimer, dispatcher.nextDueMicros()), nowMicros + MAX_SLEEP_MICROS);
    }
}
