package milletyoke.gateway.loop;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptListener;
import milletyoke.gateway.dispatch.WriteBatch;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.StatusSnapshot.DecisionRecord;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks admitted requests between the sockets and the scheduler: it turns what happens to a
 * request into events for the scheduler, and the scheduler's actions into frames. It makes no
 * scheduling decisions. It ensures that each request gets at most one response, and that each
 * attempt that the scheduler ordered gets exactly one outcome.
 *
 * <p>Owned by the event loop. Does no socket I/O and takes its clock as a parameter.
 */
final class RequestTracker implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTracker.class);

    /** Listens for requests that no longer occupy an admission slot. */
    interface SlotListener {
        /** Called with the time since the request was received. */
        void onSlotReleased(Connection client, Request request, long stayMicros);
    }

    private final String idempotencyKeyPrefix;
    private final long slackMicros;
    private final Counters counters;
    private final SlotListener slotListener;
    private final ServiceStatistics statistics;
    private final LongSupplier clock;
    private final WriteBatch writeBatch;
    private final RequestIndex requests = new RequestIndex();
    private final DecisionLog decisionLog = new DecisionLog();
    private ActionSink actionSink;
    private final SchedulerEvents events = new SchedulerEvents();
    private int unresolvedCount;

    /**
     * Creates a tracker.
     *
     * @param idempotencyKeyPrefix makes this incarnation's idempotency keys unique, for requests
     *     whose client gave none
     * @param slackMicros how long after its deadline a request may still get its response
     */
    RequestTracker(
            String idempotencyKeyPrefix,
            long slackMicros,
            Counters counters,
            SlotListener slotListener,
            ServiceStatistics statistics,
            LongSupplier clock,
            WriteBatch writeBatch) {
        this.idempotencyKeyPrefix = idempotencyKeyPrefix;
        this.slackMicros = slackMicros;
        this.counters = counters;
        this.slotListener = slotListener;
        this.statistics = statistics;
        this.clock = clock;
        this.writeBatch = writeBatch;
    }

    void setActionSink(ActionSink sink) {
        actionSink = sink;
    }

    // ---- Events for the scheduler ----

    void addEvent(Event event) {
        events.add(event);
    }

    /** Returns whether an event needs a turn of the scheduler. */
    boolean hasEvents() {
        return events.needTurn();
    }

    /** Returns the collected events and starts a new list. */
    List<Event> drainEvents() {
        return events.drain();
    }

    // ---- Clients ----

    /**
     * Starts to track a request. Its time in the queue counts against its deadline, and a request
     * whose deadline has passed is rejected at once as never run. Otherwise requests received
     * during a stall would be answered late by the length of the stall.
     */
    void receive(long nowMicros, long receivedAtMicros, Connection client, Request request) {
        if (!client.isOpen()) {
            // The client disconnected while the request was queued.
            slotListener.onSlotReleased(client, request, nowMicros - receivedAtMicros);
            return;
        }
        long deadlineMicros = receivedAtMicros + request.getTimeLeftMicros();
        if (nowMicros >= deadlineMicros) {
            rejectExpired(client, request, nowMicros - receivedAtMicros);
            return;
        }
        String id = client.id() + "-" + request.getNumber();
        if (requests.contains(id)) {
            closeForDuplicateNumber(client, request, nowMicros - receivedAtMicros);
            return;
        }
        TrackedRequest tracked =
                new TrackedRequest(
                        id, client, request, receivedAtMicros, deadlineMicros + slackMicros);
        requests.add(tracked);
        unresolvedCount++;
        counters.increment(Counter.REQUESTS);
        statistics.onRequest(
                nowMicros, request.getRequestClass(), request.getPlan(), request.getVolume());
        events.add(tracked.receivedEvent(deadlineMicros - nowMicros));
    }

    private void rejectExpired(Connection client, Request request, long stayMicros) {
        slotListener.onSlotReleased(client, request, stayMicros);
        counters.increment(Counter.EXPIRED);
        writeBatch.enqueue(client, ResponseFrames.rejected(request.getNumber(), Reason.EXPIRED, 0));
    }

    private void closeForDuplicateNumber(Connection client, Request request, long stayMicros) {
        slotListener.onSlotReleased(client, request, stayMicros);
        writeBatch.flush(); // send the responses of this turn before the reason for the close
        client.closeWithReason("access number " + request.getNumber() + " is used twice");
    }

    /** Closes a request that its client cancelled. */
    void requestCancelled(Connection client, long number) {
        TrackedRequest tracked = requests.find(client, number);
        if (tracked != null && !tracked.isResolved) {
            counters.increment(Counter.CANCELLED_BY_CLIENT);
            closeRequest(tracked);
        }
    }

    /** Closes all requests of a client whose connection closed. */
    void clientDisconnected(Connection client) {
        List<TrackedRequest> cancelled = requests.copyOfClient(client);
        if (cancelled.isEmpty()) {
            return;
        }
        for (TrackedRequest tracked : cancelled) {
            if (!tracked.isResolved) {
                closeRequest(tracked);
            }
        }
        counters.increment(Counter.CANCELLED_BY_CLIENT);
    }

    /**
     * Fails the requests past their deadline for which the scheduler decided no response. Must be
     * called after the scheduler has run, since after a stall of this process many requests are
     * past their deadline at once and the scheduler responds to them first. A request that is left
     * is a scheduler fault, so it is counted and logged.
     */
    void failOverdue(long nowMicros) {
        TrackedRequest tracked = requests.pollResolvedOrExpired(nowMicros);
        while (tracked != null) {
            if (!tracked.isResolved) {
                failOverdue(tracked);
            }
            tracked = requests.pollResolvedOrExpired(nowMicros);
        }
    }

    private void failOverdue(TrackedRequest tracked) {
        counters.increment(Counter.OVERDUE);
        LOG.error(
                "scheduler decided no response in time request={} volume={} attempts={} inFlight={}",
                tracked.id,
                tracked.request.getVolume(),
                tracked.attemptCount,
                tracked.hasAttemptInFlight);
        respond(tracked, ResponseStatus.FAILED, 0, null);
        endAtScheduler(tracked);
    }

    /** Ends a request without a response. */
    private void closeRequest(TrackedRequest tracked) {
        markResolved(tracked, ServiceStatistics.Outcome.CANCELLED);
        endAtScheduler(tracked);
    }

    /** Tells the scheduler that a request needs no response, and drops an unsent attempt. */
    private void endAtScheduler(TrackedRequest tracked) {
        events.add(new Event.RequestClosed(tracked.id));
        if (tracked.hasAttemptInFlight) {
            actionSink.dropUnsent(tracked.id, tracked.latestAttemptNumber());
        }
    }

    // ---- Outcomes of attempts and probes ----

    @Override
    public void onAttemptWritten(String requestId, int attemptNumber, long writtenAtMicros) {
        if (isInFlight(requests.find(requestId), attemptNumber)) {
            events.addDeferred(new Event.AttemptWritten(requestId, writtenAtMicros));
        }
    }

    private static boolean isInFlight(TrackedRequest tracked, int attemptNumber) {
        return tracked != null
                && tracked.hasAttemptInFlight
                && tracked.latestAttemptNumber() == attemptNumber;
    }

    @Override
    public void onAttemptEnded(
            String requestId,
            int attemptNumber,
            Outcome outcome,
            long latencyMicros,
            Load load,
            ByteString payload) {
        TrackedRequest tracked = requests.find(requestId);
        if (!isInFlight(tracked, attemptNumber)) {
            return; // its request is closed and no longer tracked
        }
        tracked.hasAttemptInFlight = false;
        statistics.onAttemptEnd(
                clock.getAsLong(), tracked.target, attemptResult(outcome), latencyMicros);
        if (outcome == Outcome.SUCCEEDED && !tracked.isResolved) {
            respond(tracked, ResponseStatus.ANSWERED, 0, payload);
            counters.increment(Counter.ANSWERED);
        }
        events.add(
                new Event.AttemptEnded(
                        requestId, attemptNumber, tracked.isResolved, outcome, latencyMicros));
        removeIfComplete(tracked);
    }

    private static ServiceStatistics.Outcome attemptResult(Outcome outcome) {
        return switch (outcome) {
            case SUCCEEDED -> ServiceStatistics.Outcome.ANSWERED;
            case OVERLOADED, NOT_STARTED, NO_CONNECTION -> ServiceStatistics.Outcome.REJECTED;
            default -> ServiceStatistics.Outcome.FAILED;
        };
    }

    @Override
    public void onProbeEnded(
            String target, Outcome outcome, long latencyMicros, double queueLength) {
        events.add(new Event.ProbeEnded(target, outcome, latencyMicros, queueLength));
    }

    // ---- Actions of the scheduler ----

    void execute(long nowMicros, List<Action> actions) {
        for (Action action : actions) {
            decisionLog.record(nowMicros, action, this::volumeOf);
            execute(nowMicros, action);
        }
    }

    private void execute(long nowMicros, Action action) {
        if (action instanceof Action.SendAttempt send) {
            sendAttempt(nowMicros, send);
        } else if (action instanceof Action.Reject reject) {
            finish(
                    reject.id(),
                    ResponseStatus.REJECTED,
                    reject.retryAfterMicros(),
                    Counter.REJECTED);
        } else if (action instanceof Action.Fail fail) {
            finish(fail.id(), ResponseStatus.FAILED, 0, Counter.FAILED);
        } else if (action instanceof Action.CancelAttempt cancel) {
            counters.increment(Counter.CANCELS);
            actionSink.cancelAttempt(cancel.id(), cancel.attemptNumber());
        } else if (action instanceof Action.SendProbe probe) {
            counters.increment(Counter.PROBES);
            actionSink.sendProbe(probe.target());
        } else if (action instanceof Action.ScheduleWakeUp wakeUp) {
            actionSink.scheduleWakeUp(wakeUp.delayMicros());
        } else if (action instanceof Action.WatchEndpoints) {
            actionSink.watchEndpoints();
        }
    }

    private String volumeOf(String requestId) {
        TrackedRequest tracked = requests.find(requestId);
        return tracked == null ? null : tracked.request.getVolume();
    }

    /** Returns the latest decisions, newest first. */
    List<DecisionRecord> latestDecisions() {
        return decisionLog.newestFirst();
    }

    private void sendAttempt(long nowMicros, Action.SendAttempt send) {
        TrackedRequest tracked = requests.find(send.id());
        if (tracked == null || tracked.isResolved) {
            throw new IllegalStateException(
                    "scheduler ordered an attempt for request " + send.id() + ", which is closed");
        }
        int attemptNumber = tracked.beginAttempt(send.target());
        statistics.onAttempt(nowMicros, send.target());
        counters.increment(attemptNumber == 0 ? Counter.ATTEMPTS : Counter.RETRIES);
        long timeLeftMicros = Math.max(0, send.deadlineMicros() - clock.getAsLong());
        actionSink.sendAttempt(
                send.target(),
                tracked.id,
                attemptNumber,
                send.deadlineMicros(),
                tracked.attemptFrame(attemptNumber, timeLeftMicros, idempotencyKeyPrefix));
    }

    /** Responds to a request unless it is resolved. */
    private void finish(String id, ResponseStatus status, long retryAfterMicros, Counter counter) {
        TrackedRequest tracked = requests.find(id);
        if (tracked != null && !tracked.isResolved) {
            counters.increment(counter);
            respond(tracked, status, retryAfterMicros, null);
        }
    }

    private void respond(
            TrackedRequest tracked,
            ResponseStatus status,
            long retryAfterMicros,
            ByteString payload) {
        Response.Builder response =
                Response.newBuilder()
                        .setNumber(tracked.request.getNumber())
                        .setStatus(status)
                        .setRetryAfterMicros(retryAfterMicros)
                        .setReason(Reason.SCHEDULER);
        if (payload != null) {
            response.setPayload(payload);
        }
        writeBatch.enqueue(tracked.client, Frame.newBuilder().setResponse(response).build());
        markResolved(tracked, requestResult(status));
    }

    private static ServiceStatistics.Outcome requestResult(ResponseStatus status) {
        return switch (status) {
            case ANSWERED -> ServiceStatistics.Outcome.ANSWERED;
            case REJECTED -> ServiceStatistics.Outcome.REJECTED;
            default -> ServiceStatistics.Outcome.FAILED;
        };
    }

    private void markResolved(TrackedRequest tracked, ServiceStatistics.Outcome result) {
        long nowMicros = clock.getAsLong();
        statistics.onRequestEnd(
                nowMicros,
                tracked.request.getRequestClass(),
                tracked.request.getPlan(),
                tracked.request.getVolume(),
                result,
                nowMicros - tracked.receivedAtMicros);
        tracked.isResolved = true;
        unresolvedCount--;
        removeIfComplete(tracked);
    }

    private void removeIfComplete(TrackedRequest tracked) {
        if (!tracked.isComplete() || !requests.remove(tracked)) {
            return;
        }
        slotListener.onSlotReleased(
                tracked.client, tracked.request, clock.getAsLong() - tracked.receivedAtMicros);
    }

    /** Fails every unresolved request, with unknown effect, after a failure of the loop. */
    void failAll() {
        for (TrackedRequest tracked : requests.copyOfAll()) {
            finish(tracked.id, ResponseStatus.FAILED, 0, Counter.FAILED);
        }
    }

    /** Returns the number of requests that still need a response. */
    int unresolvedCount() {
        return unresolvedCount;
    }

    /** Returns the number of requests that need a response or have an attempt in flight. */
    int trackedCount() {
        return requests.size();
    }
}
