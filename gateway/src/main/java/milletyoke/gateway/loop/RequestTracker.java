package milletyoke.gateway.loop;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
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
 * The admitted requests, between the sockets and the scheduler: what happens to one becomes an
 * event, an action becomes a frame. It decides nothing. It ensures that each request gets at most
 * one response, and that each attempt that the scheduler ordered gets exactly one outcome.
 *
 * <p>Owned by the event loop; free of sockets and clocks.
 */
final class RequestTracker implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTracker.class);

    /** Is notified when a request no longer occupies an admission slot. */
    interface SlotListener {
        /** Releases the slot; {@code stayMicros} is the time since the request was received. */
        void onSlotReleased(Connection client, Request request, long stayMicros);
    }

    private final String idempotencyKeyPrefix;
    private final long answerSlackMicros;
    private final Counters counters;
    private final SlotListener slotListener;
    private final ServiceStatistics statistics;
    private final LongSupplier clock;
    private final WriteBatch writeBatch;
    private final RequestIndex requests = new RequestIndex();
    private final DecisionLog decisionLog = new DecisionLog();
    private ActionSink actionSink;
    private List<Event> events = new ArrayList<>();
    private int unansweredCount;

    /**
     * Creates a tracker without requests.
     *
     * @param idempotencyKeyPrefix makes this incarnation's idempotency keys unique, for requests
     *     whose client gave none
     * @param answerSlackMicros how long past its deadline a request is kept for its response
     */
    RequestTracker(
            String idempotencyKeyPrefix,
            long answerSlackMicros,
            Counters counters,
            SlotListener slotListener,
            ServiceStatistics statistics,
            LongSupplier clock,
            WriteBatch writeBatch) {
        this.idempotencyKeyPrefix = idempotencyKeyPrefix;
        this.answerSlackMicros = answerSlackMicros;
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

    boolean hasEvents() {
        return !events.isEmpty();
    }

    /** Returns the events collected and starts a new list. */
    List<Event> drainEvents() {
        List<Event> drained = events;
        events = new ArrayList<>();
        return drained;
    }

    // ---- Clients ----

    /**
     * Starts to track a request. The time that it waited for the loop counts against its deadline,
     * and one that has none left is rejected at once as never run; without that, requests that came
     * during a stall were answered late by the stall's length.
     */
    void receive(long nowMicros, long receivedAtMicros, Connection client, Request request) {
        if (!client.isOpen()) {
            // Disconnected while the request was queued: nobody waits for the response.
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
                        id, client, request, receivedAtMicros, deadlineMicros + answerSlackMicros);
        requests.add(tracked);
        unansweredCount++;
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
        writeBatch.flush(); // responses of this turn go before the reason for the close
        client.closeWithReason("access number " + request.getNumber() + " is used twice");
    }

    /** The client cancelled one request. */
    void requestCancelled(Connection client, long number) {
        TrackedRequest tracked = requests.find(client, number);
        if (tracked != null && !tracked.isAnswered) {
            counters.increment(Counter.CANCELLED_BY_CLIENT);
            closeRequest(tracked);
        }
    }

    /** The client's connection closed: all its requests are cancelled. */
    void clientDisconnected(Connection client) {
        List<TrackedRequest> cancelled = requests.copyOfClient(client);
        if (cancelled.isEmpty()) {
            return;
        }
        for (TrackedRequest tracked : cancelled) {
            if (!tracked.isAnswered) {
                closeRequest(tracked);
            }
        }
        counters.increment(Counter.CANCELLED_BY_CLIENT);
    }

    /**
     * Closes requests past their deadline for which the scheduler decided no response. That would
     * be a fault of the scheduler, so it is counted; closing them bounds the memory.
     */
    void closeOverdue(long nowMicros) {
        TrackedRequest tracked = requests.pollAnsweredOrExpired(nowMicros);
        while (tracked != null) {
            if (!tracked.isAnswered) {
                closeOverdue(tracked);
            }
            tracked = requests.pollAnsweredOrExpired(nowMicros);
        }
    }

    private void closeOverdue(TrackedRequest tracked) {
        counters.increment(Counter.OVERDUE);
        LOG.error(
                "no answer was decided in time request={} volume={} attempts={} inFlight={}",
                tracked.id,
                tracked.request.getVolume(),
                tracked.attemptCount,
                tracked.hasAttemptInFlight);
        closeRequest(tracked);
    }

    /** Ends a request without a response. */
    private void closeRequest(TrackedRequest tracked) {
        events.add(new Event.RequestClosed(tracked.id));
        markAnswered(tracked, ServiceStatistics.Outcome.CANCELLED);
        if (tracked.hasAttemptInFlight) {
            actionSink.dropUnsent(tracked.id, tracked.latestAttemptNumber());
        }
    }

    // ---- Outcomes of attempts and probes ----

    @Override
    public void onAttemptEnded(
            String requestId,
            int attemptNumber,
            Outcome outcome,
            long latencyMicros,
            Load load,
            ByteString payload) {
        TrackedRequest tracked = requests.find(requestId);
        if (tracked == null
                || !tracked.hasAttemptInFlight
                || tracked.latestAttemptNumber() != attemptNumber) {
            return; // its request is over and no longer tracked
        }
        tracked.hasAttemptInFlight = false;
        statistics.onAttemptEnd(
                clock.getAsLong(), tracked.target, attemptEnd(outcome), latencyMicros);
        if (outcome == Outcome.SUCCEEDED && !tracked.isAnswered) {
            respond(tracked, ResponseStatus.ANSWERED, 0, payload);
            counters.increment(Counter.ANSWERED);
        }
        events.add(
                new Event.AttemptEnded(
                        requestId, attemptNumber, tracked.isAnswered, outcome, latencyMicros));
        removeIfComplete(tracked);
    }

    private static ServiceStatistics.Outcome attemptEnd(Outcome outcome) {
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
            recordDecision(nowMicros, action);
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

    /** Records the action for the console, unless it concerns neither a request nor a target. */
    private void recordDecision(long nowMicros, Action action) {
        String requestId = requestIdOf(action);
        if (requestId == null && !(action instanceof Action.SendProbe)) {
            return;
        }
        TrackedRequest tracked = requestId == null ? null : requests.find(requestId);
        String volume = tracked == null ? null : tracked.request.getVolume();
        decisionLog.add(new DecisionRecord(nowMicros, action, volume));
    }

    private static String requestIdOf(Action action) {
        if (action instanceof Action.SendAttempt send) {
            return send.id();
        }
        if (action instanceof Action.Reject reject) {
            return reject.id();
        }
        if (action instanceof Action.Fail fail) {
            return fail.id();
        }
        return action instanceof Action.CancelAttempt cancel ? cancel.id() : null;
    }

    /** The latest decisions, the newest first. */
    List<DecisionRecord> latestDecisions() {
        return decisionLog.newestFirst();
    }

    private void sendAttempt(long nowMicros, Action.SendAttempt send) {
        TrackedRequest tracked = requests.find(send.id());
        if (tracked == null || tracked.isAnswered) {
            throw new IllegalStateException(
                    "an attempt was decided for request " + send.id() + ", which is over");
        }
        int attemptNumber = tracked.beginAttempt(send.target());
        statistics.onAttempt(nowMicros, send.target());
        counters.increment(attemptNumber == 0 ? Counter.ATTEMPTS : Counter.RETRIES);
        long timeLeftMicros = Math.max(0, send.deadlineMicros() - nowMicros);
        actionSink.sendAttempt(
                send.target(),
                tracked.id,
                attemptNumber,
                send.deadlineMicros(),
                tracked.attemptFrame(attemptNumber, timeLeftMicros, idempotencyKeyPrefix));
    }

    /** Responds to a request that is still unanswered. */
    private void finish(String id, ResponseStatus status, long retryAfterMicros, Counter counter) {
        TrackedRequest tracked = requests.find(id);
        if (tracked != null && !tracked.isAnswered) {
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
        markAnswered(tracked, requestEnd(status));
    }

    private static ServiceStatistics.Outcome requestEnd(ResponseStatus status) {
        return switch (status) {
            case ANSWERED -> ServiceStatistics.Outcome.ANSWERED;
            case REJECTED -> ServiceStatistics.Outcome.REJECTED;
            default -> ServiceStatistics.Outcome.FAILED;
        };
    }

    private void markAnswered(TrackedRequest tracked, ServiceStatistics.Outcome end) {
        long nowMicros = clock.getAsLong();
        statistics.onRequestEnd(
                nowMicros,
                tracked.request.getRequestClass(),
                tracked.request.getPlan(),
                tracked.request.getVolume(),
                end,
                nowMicros - tracked.receivedAtMicros);
        tracked.isAnswered = true;
        unansweredCount--;
        removeIfComplete(tracked);
    }

    private void removeIfComplete(TrackedRequest tracked) {
        if (!tracked.isComplete() || !requests.remove(tracked)) {
            return;
        }
        slotListener.onSlotReleased(
                tracked.client, tracked.request, clock.getAsLong() - tracked.receivedAtMicros);
    }

    /** Fails every unanswered request, for the scheduler failed; that promises nothing. */
    void failAll() {
        for (TrackedRequest tracked : requests.copyOfAll()) {
            finish(tracked.id, ResponseStatus.FAILED, 0, Counter.FAILED);
        }
    }

    /** Requests without a response. */
    int unansweredCount() {
        return unansweredCount;
    }

    /** Requests without a response or with an attempt in flight. */
    int trackedCount() {
        return requests.size();
    }
}
