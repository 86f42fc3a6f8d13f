package milletyoke.gateway.loop;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptListener;
import milletyoke.gateway.dispatch.WriteBatch;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.StatusSnapshot.DecisionRecord;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The accesses held, between the sockets and the decisions: what happens becomes an event, an
 * action becomes a frame. It decides nothing on accesses. What it sees to is that each access gets
 * at most one final answer, and that each relay that was decided gets exactly one outcome.
 *
 * <p>Owned by the loop; free of sockets and clocks.
 */
final class RequestTracker implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTracker.class);

    /** How relays, cancels and probes leave. */
    interface AttemptSender {
        void sendAttempt(
                String target, String id, int attempt, long giveUpAt, Attempt.Builder relay);

        void cancelAttempt(String id, int attempt);

        /** Its access is over: what has not been sent is not sent any more. */
        void dropUnsent(String id, int attempt);

        void sendProbe(String target);

        void scheduleWakeUp(long in);

        void watchEndpoints();
    }

    /** Told when an access no longer takes a place. */
    interface SlotListener {
        /**
         * @param stay microseconds since the access came in
         */
        void onSlotReleased(Connection client, Request access, long stay);
    }

    private final String idempotencyKeyPrefix;
    private final long answerSlackMicros;
    private final Counters counters;
    private final SlotListener slotListener;
    private final ServiceStatistics statistics;
    private final LongSupplier clock;
    private final WriteBatch writeBatch;
    private AttemptSender attemptSender;
    private final Map<String, TrackedRequest> requestsById = new LinkedHashMap<>();
    private final Map<Connection, Map<Long, TrackedRequest>> requestsByClient =
            new LinkedHashMap<>();

    /**
     * Entries in the order of their last calls, as near as arrivals give it; looked at from the
     * front.
     */
    private final java.util.PriorityQueue<TrackedRequest> requestsByExpiry =
            new java.util.PriorityQueue<>(
                    java.util.Comparator.comparingLong(tracked -> tracked.expiresAtMicros));

    private List<Event> events = new ArrayList<>();
    private final DecisionRecord[] latestDecisions = new DecisionRecord[64];
    private long noted;
    private int unansweredCount;

    /**
     * @param idempotencyKeyPrefix what makes marks of this life unlike any other's, for accesses
     *     whose client gave none
     */
    RequestTracker(
            String mark,
            long answerSlack,
            Counters counts,
            SlotListener places,
            ServiceStatistics accounts,
            LongSupplier time,
            WriteBatch outbox) {
        this.writeBatch = outbox;
        this.statistics = accounts;
        this.clock = time;
        this.idempotencyKeyPrefix = mark;
        this.answerSlackMicros = answerSlack;
        this.counters = counts;
        this.slotListener = places;
    }

    void setAttemptSender(AttemptSender to) {
        attemptSender = to;
    }

    // ---- What happens ----

    void addEvent(Event event) {
        events.add(event);
    }

    /**
     * Guards the client's time against a loop that was held up: what waited in the queue has that
     * much less left, and what has none left is told at once that it never ran. Without it,
     * accesses that came during a standstill were answered late by its length. Could do no harm.
     *
     * @param at when the access came in
     */
    void receive(long now, long at, Connection client, Request a) {
        if (!client.isOpen()) {
            slotListener.onSlotReleased(
                    client, a,
                    now - at); // gone while it waited in the queue: nobody is owed an answer
            return;
        }
        if (now >= at + a.getTimeLeftMicros()) {
            slotListener.onSlotReleased(client, a, now - at);
            counters.increment(Counter.EXPIRED);
            writeBatch.enqueue(
                    client,
                    Frame.newBuilder()
                            .setResponse(
                                    Response.newBuilder()
                                            .setNumber(a.getNumber())
                                            .setStatus(ResponseStatus.REJECTED)
                                            .setReason(Reason.EXPIRED))
                            .build());
            return;
        }
        String id = client.id() + "-" + a.getNumber();
        if (requestsById.containsKey(id)) {
            slotListener.onSlotReleased(client, a, now - at);
            writeBatch.flush(); // answers of this turn go before the farewell
            client.closeWithReason("access number " + a.getNumber() + " is used twice");
            return;
        }
        TrackedRequest tracked =
                new TrackedRequest(
                        id, client, a, at, at + a.getTimeLeftMicros() + answerSlackMicros);
        requestsById.put(id, tracked);
        requestsByClient
                .computeIfAbsent(client, c -> new LinkedHashMap<>())
                .put(a.getNumber(), tracked);
        requestsByExpiry.add(tracked);
        unansweredCount++;
        counters.increment(Counter.REQUESTS);
        statistics.asked(now, a.getRequestClass(), a.getPlan(), a.getVolume());
        long timeLeft = a.getTimeLeftMicros() - (now - at);
        events.add(
                new Event.RequestReceived(
                        id,
                        a.hasShard() ? a.getShard() : -1,
                        a.getExtent().isEmpty() ? null : a.getExtent(),
                        a.getVolume(),
                        timeLeft,
                        a.getPlan(),
                        a.getRequestClass(),
                        Math.max(1, a.getInitiatorCount()),
                        a.getUnits()));
    }

    void requestCancelled(Connection client, long number) {
        Map<Long, TrackedRequest> own = requestsByClient.get(client);
        TrackedRequest tracked = own == null ? null : own.get(number);
        if (tracked != null && !tracked.isAnswered) {
            counters.increment(Counter.CANCELLED_BY_CLIENT);
            closeRequest(tracked);
        }
    }

    void clientDisconnected(Connection client) {
        Map<Long, TrackedRequest> own = requestsByClient.get(client);
        if (own != null) {
            List.copyOf(own.values()).stream()
                    .filter(tracked -> !tracked.isAnswered)
                    .forEach(this::closeRequest);
            counters.increment(Counter.CANCELLED_BY_CLIENT);
        }
    }

    private void closeRequest(TrackedRequest tracked) {
        events.add(new Event.RequestClosed(tracked.id));
        markAnswered(tracked, ServiceStatistics.End.LEFT);
        if (tracked.hasAttemptInFlight) {
            attemptSender.dropUnsent(tracked.id, tracked.attemptCount - 1);
        }
    }

    private void markAnswered(TrackedRequest tracked, ServiceStatistics.End how) {
        long now = clock.getAsLong();
        statistics.ended(
                now,
                tracked.request.getRequestClass(),
                tracked.request.getPlan(),
                tracked.request.getVolume(),
                how,
                now - tracked.receivedAtMicros);
        tracked.isAnswered = true;
        unansweredCount--;
        removeIfComplete(tracked);
    }

    private void removeIfComplete(TrackedRequest tracked) {
        if (tracked.isAnswered
                && !tracked.hasAttemptInFlight
                && requestsById.remove(tracked.id) != null) {
            Map<Long, TrackedRequest> own = requestsByClient.get(tracked.client);
            own.remove(tracked.request.getNumber());
            if (own.isEmpty()) {
                requestsByClient.remove(tracked.client);
            }
            slotListener.onSlotReleased(
                    tracked.client, tracked.request, clock.getAsLong() - tracked.receivedAtMicros);
        }
    }

    @Override
    public void onAttemptEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload) {
        TrackedRequest tracked = requestsById.get(id);
        if (tracked == null || !tracked.hasAttemptInFlight || tracked.attemptCount - 1 != attempt) {
            return; // its access is over and forgotten
        }
        tracked.hasAttemptInFlight = false;
        statistics.relayEnded(
                clock.getAsLong(),
                tracked.target,
                outcome == Outcome.SUCCEEDED
                        ? ServiceStatistics.End.ANSWERED
                        : outcome == Outcome.OVERLOADED
                                        || outcome == Outcome.NOT_STARTED
                                        || outcome == Outcome.NO_CONNECTION
                                ? ServiceStatistics.End.REJECTED
                                : ServiceStatistics.End.BROKEN_OFF,
                lag);
        if (outcome == Outcome.SUCCEEDED && !tracked.isAnswered) {
            answer(tracked, ResponseStatus.ANSWERED, 0, payload);
            counters.increment(Counter.ANSWERED);
        }
        events.add(new Event.AttemptEnded(id, attempt, tracked.isAnswered, outcome, lag));
        removeIfComplete(tracked);
    }

    @Override
    public void onProbeEnded(String target, Outcome outcome, long lag, double waiting) {
        events.add(new Event.ProbeEnded(target, outcome, lag, waiting));
    }

    /**
     * Ends what is past all use. Guards the memory against an access for which no answer was ever
     * decided; that would be a fault of the decisions, so it is counted. Could do no harm: its
     * client has given up.
     */
    void closeOverdue(long now) {
        while (!requestsByExpiry.isEmpty()
                && (requestsByExpiry.peek().isAnswered
                        || requestsByExpiry.peek().expiresAtMicros < now)) {
            TrackedRequest tracked = requestsByExpiry.poll();
            if (!tracked.isAnswered) {
                counters.increment(Counter.OVERDUE);
                LOG.error(
                        "no answer was decided for access {} of {} in its time: {} relays, {}",
                        tracked.id,
                        tracked.request.getVolume(),
                        tracked.attemptCount,
                        tracked.hasAttemptInFlight ? "one out" : "none out");
                closeRequest(tracked);
            }
        }
    }

    // ---- What is decided ----

    boolean hasEvents() {
        return !events.isEmpty();
    }

    List<Event> drainEvents() {
        List<Event> all = events;
        events = new ArrayList<>();
        return all;
    }

    void execute(long now, List<Action> actions) {
        for (Action action : actions) {
            recordDecision(now, action);
            if (action instanceof Action.SendAttempt a) {
                sendAttempt(now, a);
            } else if (action instanceof Action.Reject a) {
                finish(a.id(), ResponseStatus.REJECTED, a.retryAfterMicros(), Counter.REJECTED);
            } else if (action instanceof Action.Fail a) {
                finish(a.id(), ResponseStatus.FAILED, 0, Counter.FAILED);
            } else if (action instanceof Action.CancelAttempt a) {
                counters.increment(Counter.CANCELS);
                attemptSender.cancelAttempt(a.id(), a.attemptNumber());
            } else if (action instanceof Action.SendProbe a) {
                counters.increment(Counter.PROBES);
                attemptSender.sendProbe(a.target());
            } else if (action instanceof Action.ScheduleWakeUp a) {
                attemptSender.scheduleWakeUp(a.delayMicros());
            } else if (action instanceof Action.WatchEndpoints) {
                attemptSender.watchEndpoints();
            }
        }
    }

    /**
     * Wake-ups and askings for the list are no news; of the rest the latest are kept, as they were
     * decided.
     */
    private void recordDecision(long now, Action action) {
        String id =
                action instanceof Action.SendAttempt a
                        ? a.id()
                        : action instanceof Action.Reject a
                                ? a.id()
                                : action instanceof Action.Fail a
                                        ? a.id()
                                        : action instanceof Action.CancelAttempt a ? a.id() : null;
        if (id != null || action instanceof Action.SendProbe) {
            TrackedRequest tracked = id == null ? null : requestsById.get(id);
            latestDecisions[(int) (noted++ % latestDecisions.length)] =
                    new DecisionRecord(
                            now, action, tracked == null ? null : tracked.request.getVolume());
        }
    }

    /** The latest decisions, the newest first. */
    List<DecisionRecord> latestDecisions() {
        List<DecisionRecord> all = new ArrayList<>();
        for (long i = noted - 1; i >= Math.max(0, noted - latestDecisions.length); i--) {
            all.add(latestDecisions[(int) (i % latestDecisions.length)]);
        }
        return all;
    }

    private void sendAttempt(long now, Action.SendAttempt a) {
        TrackedRequest tracked = requestsById.get(a.id());
        if (tracked == null || tracked.isAnswered) {
            throw new IllegalStateException(
                    "a relay was decided for " + a.id() + ", which is over");
        }
        Request x = tracked.request;
        int attempt = tracked.attemptCount++;
        tracked.hasAttemptInFlight = true;
        tracked.target = a.target();
        statistics.relayed(now, a.target());
        counters.increment(attempt == 0 ? Counter.ATTEMPTS : Counter.RETRIES);
        Attempt.Builder relay =
                Attempt.newBuilder()
                        .setRequestId(tracked.id)
                        .setAttemptNumber(attempt)
                        .setExtent(x.getExtent())
                        .setVolume(x.getVolume())
                        .setRequestClass(x.getRequestClass())
                        .setUnits(x.getUnits())
                        .setTimeLeftMicros(Math.max(0, a.deadlineMicros() - now))
                        .setWrite(x.getWrite())
                        .setPayload(x.getPayload())
                        .setIdempotencyKey(
                                x.getIdempotencyKey().isEmpty()
                                        ? idempotencyKeyPrefix + tracked.id
                                        : x.getIdempotencyKey());
        if (x.hasShard()) {
            relay.setShard(x.getShard());
        }
        attemptSender.sendAttempt(a.target(), tracked.id, attempt, a.deadlineMicros(), relay);
    }

    private void finish(String id, ResponseStatus how, long retryIn, Counter count) {
        TrackedRequest tracked = requestsById.get(id);
        if (tracked != null && !tracked.isAnswered) {
            counters.increment(count);
            answer(tracked, how, retryIn, null);
        }
    }

    private void answer(
            TrackedRequest tracked, ResponseStatus how, long retryIn, ByteString payload) {
        Response.Builder answer =
                Response.newBuilder()
                        .setNumber(tracked.request.getNumber())
                        .setStatus(how)
                        .setRetryAfterMicros(retryIn)
                        .setReason(Reason.SCHEDULER);
        if (payload != null) {
            answer.setPayload(payload);
        }
        writeBatch.enqueue(tracked.client, Frame.newBuilder().setResponse(answer).build());
        markAnswered(
                tracked,
                how == ResponseStatus.ANSWERED
                        ? ServiceStatistics.End.ANSWERED
                        : how == ResponseStatus.REJECTED
                                ? ServiceStatistics.End.REJECTED
                                : ServiceStatistics.End.BROKEN_OFF);
    }

    /** For a fault of the decisions: everything held is broken off, which promises nothing. */
    void failAll() {
        for (TrackedRequest tracked : List.copyOf(requestsById.values())) {
            finish(tracked.id, ResponseStatus.FAILED, 0, Counter.FAILED);
        }
    }

    /** Accesses that are owed an answer. */
    int unansweredCount() {
        return unansweredCount;
    }

    int trackedCount() {
        return requestsById.size();
    }
}
