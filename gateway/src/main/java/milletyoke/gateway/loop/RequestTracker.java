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
        void relay(String target, String id, int attempt, long giveUpAt, Attempt.Builder relay);

        void cancel(String id, int attempt);

        /** Its access is over: what has not been sent is not sent any more. */
        void dropUnsent(String id, int attempt);

        void probe(String target);

        void wake(long in);

        void follow();
    }

    /** Told when an access no longer takes a place. */
    interface SlotListener {
        /**
         * @param stay microseconds since the access came in
         */
        void free(Connection client, Request access, long stay);
    }

    private final String mark;
    private final long answerSlack;
    private final Counters counts;
    private final SlotListener places;
    private final ServiceStatistics accounts;
    private final LongSupplier time;
    private final WriteBatch outbox;
    private AttemptSender outlet;
    private final Map<String, TrackedRequest> entries = new LinkedHashMap<>();
    private final Map<Connection, Map<Long, TrackedRequest>> byClient = new LinkedHashMap<>();

    /**
     * Entries in the order of their last calls, as near as arrivals give it; looked at from the
     * front.
     */
    private final java.util.PriorityQueue<TrackedRequest> byLastCall =
            new java.util.PriorityQueue<>(java.util.Comparator.comparingLong(e -> e.lastCall));

    private List<Event> events = new ArrayList<>();
    private final DecisionRecord[] latest = new DecisionRecord[64];
    private long noted;
    private int unanswered;

    /**
     * @param mark what makes marks of this life unlike any other's, for accesses whose client gave
     *     none
     */
    RequestTracker(
            String mark,
            long answerSlack,
            Counters counts,
            SlotListener places,
            ServiceStatistics accounts,
            LongSupplier time,
            WriteBatch outbox) {
        this.outbox = outbox;
        this.accounts = accounts;
        this.time = time;
        this.mark = mark;
        this.answerSlack = answerSlack;
        this.counts = counts;
        this.places = places;
    }

    void connect(AttemptSender to) {
        outlet = to;
    }

    // ---- What happens ----

    void happened(Event event) {
        events.add(event);
    }

    /**
     * Guards the client's time against a loop that was held up: what waited in the queue has that
     * much less left, and what has none left is told at once that it never ran. Without it,
     * accesses that came during a standstill were answered late by its length. Could do no harm.
     *
     * @param at when the access came in
     */
    void taken(long now, long at, Connection client, Request a) {
        if (!client.isOpen()) {
            places.free(
                    client, a,
                    now - at); // gone while it waited in the queue: nobody is owed an answer
            return;
        }
        if (now >= at + a.getTimeLeftMicros()) {
            places.free(client, a, now - at);
            counts.increment(Counter.EXPIRED);
            outbox.post(
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
        if (entries.containsKey(id)) {
            places.free(client, a, now - at);
            outbox.flush(); // answers of this turn go before the farewell
            client.closeWithReason("access number " + a.getNumber() + " is used twice");
            return;
        }
        TrackedRequest e =
                new TrackedRequest(id, client, a, at, at + a.getTimeLeftMicros() + answerSlack);
        entries.put(id, e);
        byClient.computeIfAbsent(client, c -> new LinkedHashMap<>()).put(a.getNumber(), e);
        byLastCall.add(e);
        unanswered++;
        counts.increment(Counter.REQUESTS);
        accounts.onRequest(now, a.getRequestClass(), a.getPlan(), a.getVolume());
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

    void left(Connection client, long number) {
        Map<Long, TrackedRequest> own = byClient.get(client);
        TrackedRequest e = own == null ? null : own.get(number);
        if (e != null && !e.answered) {
            counts.increment(Counter.CANCELLED_BY_CLIENT);
            over(e);
        }
    }

    void clientGone(Connection client) {
        Map<Long, TrackedRequest> own = byClient.get(client);
        if (own != null) {
            List.copyOf(own.values()).stream().filter(e -> !e.answered).forEach(this::over);
            counts.increment(Counter.CANCELLED_BY_CLIENT);
        }
    }

    private void over(TrackedRequest e) {
        events.add(new Event.RequestClosed(e.id));
        answered(e, ServiceStatistics.Outcome.CANCELLED);
        if (e.out) {
            outlet.dropUnsent(e.id, e.relays - 1);
        }
    }

    private void answered(TrackedRequest e, ServiceStatistics.Outcome how) {
        long now = time.getAsLong();
        accounts.onRequestEnd(
                now,
                e.access.getRequestClass(),
                e.access.getPlan(),
                e.access.getVolume(),
                how,
                now - e.cameAt);
        e.answered = true;
        unanswered--;
        forgetIfDone(e);
    }

    private void forgetIfDone(TrackedRequest e) {
        if (e.answered && !e.out && entries.remove(e.id) != null) {
            Map<Long, TrackedRequest> own = byClient.get(e.client);
            own.remove(e.access.getNumber());
            if (own.isEmpty()) {
                byClient.remove(e.client);
            }
            places.free(e.client, e.access, time.getAsLong() - e.cameAt);
        }
    }

    @Override
    public void onAttemptEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload) {
        TrackedRequest e = entries.get(id);
        if (e == null || !e.out || e.relays - 1 != attempt) {
            return; // its access is over and forgotten
        }
        e.out = false;
        accounts.onAttemptEnd(
                time.getAsLong(),
                e.target,
                outcome == Outcome.SUCCEEDED
                        ? ServiceStatistics.Outcome.ANSWERED
                        : outcome == Outcome.OVERLOADED
                                        || outcome == Outcome.NOT_STARTED
                                        || outcome == Outcome.NO_CONNECTION
                                ? ServiceStatistics.Outcome.REJECTED
                                : ServiceStatistics.Outcome.FAILED,
                lag);
        if (outcome == Outcome.SUCCEEDED && !e.answered) {
            answer(e, ResponseStatus.ANSWERED, 0, payload);
            counts.increment(Counter.ANSWERED);
        }
        events.add(new Event.AttemptEnded(id, attempt, e.answered, outcome, lag));
        forgetIfDone(e);
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
    void endOverdue(long now) {
        while (!byLastCall.isEmpty()
                && (byLastCall.peek().answered || byLastCall.peek().lastCall < now)) {
            TrackedRequest e = byLastCall.poll();
            if (!e.answered) {
                counts.increment(Counter.OVERDUE);
                LOG.error(
                        "no answer was decided for access {} of {} in its time: {} relays, {}",
                        e.id,
                        e.access.getVolume(),
                        e.relays,
                        e.out ? "one out" : "none out");
                over(e);
            }
        }
    }

    // ---- What is decided ----

    boolean hasEvents() {
        return !events.isEmpty();
    }

    List<Event> drain() {
        List<Event> all = events;
        events = new ArrayList<>();
        return all;
    }

    void carryOut(long now, List<Action> actions) {
        for (Action action : actions) {
            note(now, action);
            if (action instanceof Action.SendAttempt a) {
                relay(now, a);
            } else if (action instanceof Action.Reject a) {
                close(a.id(), ResponseStatus.REJECTED, a.retryAfterMicros(), Counter.REJECTED);
            } else if (action instanceof Action.Fail a) {
                close(a.id(), ResponseStatus.FAILED, 0, Counter.FAILED);
            } else if (action instanceof Action.CancelAttempt a) {
                counts.increment(Counter.CANCELS);
                outlet.cancel(a.id(), a.attemptNumber());
            } else if (action instanceof Action.SendProbe a) {
                counts.increment(Counter.PROBES);
                outlet.probe(a.target());
            } else if (action instanceof Action.ScheduleWakeUp a) {
                outlet.wake(a.delayMicros());
            } else if (action instanceof Action.WatchEndpoints) {
                outlet.follow();
            }
        }
    }

    /**
     * Wake-ups and askings for the list are no news; of the rest the latest are kept, as they were
     * decided.
     */
    private void note(long now, Action action) {
        String id =
                action instanceof Action.SendAttempt a
                        ? a.id()
                        : action instanceof Action.Reject a
                                ? a.id()
                                : action instanceof Action.Fail a
                                        ? a.id()
                                        : action instanceof Action.CancelAttempt a ? a.id() : null;
        if (id != null || action instanceof Action.SendProbe) {
            TrackedRequest e = id == null ? null : entries.get(id);
            latest[(int) (noted++ % latest.length)] =
                    new DecisionRecord(now, action, e == null ? null : e.access.getVolume());
        }
    }

    /** The latest decisions, the newest first. */
    List<DecisionRecord> latest() {
        List<DecisionRecord> all = new ArrayList<>();
        for (long i = noted - 1; i >= Math.max(0, noted - latest.length); i--) {
            all.add(latest[(int) (i % latest.length)]);
        }
        return all;
    }

    private void relay(long now, Action.SendAttempt a) {
        TrackedRequest e = entries.get(a.id());
        if (e == null || e.answered) {
            throw new IllegalStateException(
                    "a relay was decided for " + a.id() + ", which is over");
        }
        Request x = e.access;
        int attempt = e.relays++;
        e.out = true;
        e.target = a.target();
        accounts.onAttempt(now, a.target());
        counts.increment(attempt == 0 ? Counter.ATTEMPTS : Counter.RETRIES);
        Attempt.Builder relay =
                Attempt.newBuilder()
                        .setRequestId(e.id)
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
                                        ? mark + e.id
                                        : x.getIdempotencyKey());
        if (x.hasShard()) {
            relay.setShard(x.getShard());
        }
        outlet.relay(a.target(), e.id, attempt, a.deadlineMicros(), relay);
    }

    private void close(String id, ResponseStatus how, long retryIn, Counter count) {
        TrackedRequest e = entries.get(id);
        if (e != null && !e.answered) {
            counts.increment(count);
            answer(e, how, retryIn, null);
        }
    }

    private void answer(TrackedRequest e, ResponseStatus how, long retryIn, ByteString payload) {
        Response.Builder answer =
                Response.newBuilder()
                        .setNumber(e.access.getNumber())
                        .setStatus(how)
                        .setRetryAfterMicros(retryIn)
                        .setReason(Reason.SCHEDULER);
        if (payload != null) {
            answer.setPayload(payload);
        }
        outbox.post(e.client, Frame.newBuilder().setResponse(answer).build());
        answered(
                e,
                how == ResponseStatus.ANSWERED
                        ? ServiceStatistics.Outcome.ANSWERED
                        : how == ResponseStatus.REJECTED
                                ? ServiceStatistics.Outcome.REJECTED
                                : ServiceStatistics.Outcome.FAILED);
    }

    /** For a fault of the decisions: everything held is broken off, which promises nothing. */
    void breakOffAll() {
        for (TrackedRequest e : List.copyOf(entries.values())) {
            close(e.id, ResponseStatus.FAILED, 0, Counter.FAILED);
        }
    }

    /** Accesses that are owed an answer. */
    int unanswered() {
        return unanswered;
    }

    int held() {
        return entries.size();
    }
}
