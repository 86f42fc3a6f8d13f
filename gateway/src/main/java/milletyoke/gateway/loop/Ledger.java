package milletyoke.gateway.loop;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import milletyoke.gateway.link.Outbox;
import milletyoke.gateway.link.Outcomes;
import milletyoke.gateway.picture.Accounts;
import milletyoke.gateway.picture.Picture.Decided;
import milletyoke.port.Action;
import milletyoke.port.Event;
import milletyoke.port.Outcome;
import milletyoke.wire.Line;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Final;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Relay;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The accesses held, between the sockets and the decisions: what happens becomes an event, an
 * action becomes a frame. It decides nothing on accesses. What it sees to is that each access gets
 * at most one final answer, and that each relay that was decided gets exactly one outcome.
 *
 * <p>Owned by the loop; free of sockets and clocks.
 */
final class Ledger implements Outcomes {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

    /** How relays, cancels and probes leave. */
    interface Outlet {
        void relay(String target, String id, int attempt, long giveUpAt, Relay.Builder relay);

        void cancel(String id, int attempt);

        /** Its access is over: what has not been sent is not sent any more. */
        void dropUnsent(String id, int attempt);

        void probe(String target);

        void wake(long in);

        void follow();
    }

    /** Told when an access no longer takes a place. */
    interface Places {
        /**
         * @param stay microseconds since the access came in
         */
        void free(Line client, Access access, long stay);
    }

    private final String mark;
    private final long answerSlack;
    private final Counts counts;
    private final Places places;
    private final Accounts accounts;
    private final LongSupplier time;
    private final Outbox outbox;
    private Outlet outlet;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<Line, Map<Long, Entry>> byClient = new LinkedHashMap<>();

    /**
     * Entries in the order of their last calls, as near as arrivals give it; looked at from the
     * front.
     */
    private final java.util.PriorityQueue<Entry> byLastCall =
            new java.util.PriorityQueue<>(java.util.Comparator.comparingLong(e -> e.lastCall));

    private List<Event> events = new ArrayList<>();
    private final Decided[] latest = new Decided[64];
    private long noted;
    private int unanswered;

    /**
     * @param mark what makes marks of this life unlike any other's, for accesses whose client gave
     *     none
     */
    Ledger(
            String mark,
            long answerSlack,
            Counts counts,
            Places places,
            Accounts accounts,
            LongSupplier time,
            Outbox outbox) {
        this.outbox = outbox;
        this.accounts = accounts;
        this.time = time;
        this.mark = mark;
        this.answerSlack = answerSlack;
        this.counts = counts;
        this.places = places;
    }

    void connect(Outlet to) {
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
    void taken(long now, long at, Line client, Access a) {
        if (!client.isOpen()) {
            places.free(
                    client, a,
                    now - at); // gone while it waited in the queue: nobody is owed an answer
            return;
        }
        if (now >= at + a.getTimeLeft()) {
            places.free(client, a, now - at);
            counts.add(Count.EXPIRED);
            outbox.post(
                    client,
                    Frame.newBuilder()
                            .setAnswer(
                                    Answer.newBuilder()
                                            .setNumber(a.getNumber())
                                            .setFinal(Final.REJECTED)
                                            .setReason(Reason.EXPIRED))
                            .build());
            return;
        }
        String id = client.id() + "-" + a.getNumber();
        if (entries.containsKey(id)) {
            places.free(client, a, now - at);
            outbox.flush(); // answers of this turn go before the farewell
            client.bye("access number " + a.getNumber() + " is used twice");
            return;
        }
        Entry e = new Entry(id, client, a, at, at + a.getTimeLeft() + answerSlack);
        entries.put(id, e);
        byClient.computeIfAbsent(client, c -> new LinkedHashMap<>()).put(a.getNumber(), e);
        byLastCall.add(e);
        unanswered++;
        counts.add(Count.ACCESSES);
        accounts.asked(now, a.getCategory(), a.getPlan(), a.getVolume());
        long timeLeft = a.getTimeLeft() - (now - at);
        events.add(
                new Event.Access(
                        id,
                        a.hasShard() ? a.getShard() : -1,
                        a.getExtent().isEmpty() ? null : a.getExtent(),
                        a.getVolume(),
                        timeLeft,
                        a.getPlan(),
                        a.getCategory(),
                        Math.max(1, a.getHosts()),
                        a.getUnits()));
    }

    void left(Line client, long number) {
        Map<Long, Entry> own = byClient.get(client);
        Entry e = own == null ? null : own.get(number);
        if (e != null && !e.answered) {
            counts.add(Count.CLIENTS_LEFT);
            over(e);
        }
    }

    void clientGone(Line client) {
        Map<Long, Entry> own = byClient.get(client);
        if (own != null) {
            List.copyOf(own.values()).stream().filter(e -> !e.answered).forEach(this::over);
            counts.add(Count.CLIENTS_LEFT);
        }
    }

    private void over(Entry e) {
        events.add(new Event.Over(e.id));
        answered(e, Accounts.End.LEFT);
        if (e.out) {
            outlet.dropUnsent(e.id, e.relays - 1);
        }
    }

    private void answered(Entry e, Accounts.End how) {
        long now = time.getAsLong();
        accounts.ended(
                now,
                e.access.getCategory(),
                e.access.getPlan(),
                e.access.getVolume(),
                how,
                now - e.cameAt);
        e.answered = true;
        unanswered--;
        forgetIfDone(e);
    }

    private void forgetIfDone(Entry e) {
        if (e.answered && !e.out && entries.remove(e.id) != null) {
            Map<Long, Entry> own = byClient.get(e.client);
            own.remove(e.access.getNumber());
            if (own.isEmpty()) {
                byClient.remove(e.client);
            }
            places.free(e.client, e.access, time.getAsLong() - e.cameAt);
        }
    }

    @Override
    public void relayEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload) {
        Entry e = entries.get(id);
        if (e == null || !e.out || e.relays - 1 != attempt) {
            return; // its access is over and forgotten
        }
        e.out = false;
        accounts.relayEnded(
                time.getAsLong(),
                e.target,
                outcome == Outcome.SUCCEEDED
                        ? Accounts.End.ANSWERED
                        : outcome == Outcome.FULL
                                        || outcome == Outcome.MOOT
                                        || outcome == Outcome.NO_CONNECTION
                                ? Accounts.End.REJECTED
                                : Accounts.End.BROKEN_OFF,
                lag);
        if (outcome == Outcome.SUCCEEDED && !e.answered) {
            answer(e, Final.ANSWERED, 0, payload);
            counts.add(Count.ANSWERED);
        }
        events.add(new Event.Ended(id, attempt, e.answered, outcome, lag));
        forgetIfDone(e);
    }

    @Override
    public void probeEnded(String target, Outcome outcome, long lag, double waiting) {
        events.add(new Event.Probed(target, outcome, lag, waiting));
    }

    /**
     * Ends what is past all use. Guards the memory against an access for which no answer was ever
     * decided; that would be a fault of the decisions, so it is counted. Could do no harm: its
     * client has given up.
     */
    void endOverdue(long now) {
        while (!byLastCall.isEmpty()
                && (byLastCall.peek().answered || byLastCall.peek().lastCall < now)) {
            Entry e = byLastCall.poll();
            if (!e.answered) {
                counts.add(Count.OVERDUE);
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
            if (action instanceof Action.Relay a) {
                relay(now, a);
            } else if (action instanceof Action.Reject a) {
                close(a.id(), Final.REJECTED, a.retryIn(), Count.REJECTED);
            } else if (action instanceof Action.BreakOff a) {
                close(a.id(), Final.BROKEN_OFF, 0, Count.BROKEN_OFF);
            } else if (action instanceof Action.Cancel a) {
                counts.add(Count.CANCELS);
                outlet.cancel(a.id(), a.relay());
            } else if (action instanceof Action.Probe a) {
                counts.add(Count.PROBES);
                outlet.probe(a.target());
            } else if (action instanceof Action.Wake a) {
                outlet.wake(a.in());
            } else if (action instanceof Action.FollowList) {
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
                action instanceof Action.Relay a
                        ? a.id()
                        : action instanceof Action.Reject a
                                ? a.id()
                                : action instanceof Action.BreakOff a
                                        ? a.id()
                                        : action instanceof Action.Cancel a ? a.id() : null;
        if (id != null || action instanceof Action.Probe) {
            Entry e = id == null ? null : entries.get(id);
            latest[(int) (noted++ % latest.length)] =
                    new Decided(now, action, e == null ? null : e.access.getVolume());
        }
    }

    /** The latest decisions, the newest first. */
    List<Decided> latest() {
        List<Decided> all = new ArrayList<>();
        for (long i = noted - 1; i >= Math.max(0, noted - latest.length); i--) {
            all.add(latest[(int) (i % latest.length)]);
        }
        return all;
    }

    private void relay(long now, Action.Relay a) {
        Entry e = entries.get(a.id());
        if (e == null || e.answered) {
            throw new IllegalStateException(
                    "a relay was decided for " + a.id() + ", which is over");
        }
        Access x = e.access;
        int attempt = e.relays++;
        e.out = true;
        e.target = a.target();
        accounts.relayed(now, a.target());
        counts.add(attempt == 0 ? Count.RELAYS : Count.RELAYS_FURTHER);
        Relay.Builder relay =
                Relay.newBuilder()
                        .setId(e.id)
                        .setAttempt(attempt)
                        .setExtent(x.getExtent())
                        .setVolume(x.getVolume())
                        .setCategory(x.getCategory())
                        .setUnits(x.getUnits())
                        .setTimeLeft(Math.max(0, a.giveUpAt() - now))
                        .setWrite(x.getWrite())
                        .setPayload(x.getPayload())
                        .setMark(x.getMark().isEmpty() ? mark + e.id : x.getMark());
        if (x.hasShard()) {
            relay.setShard(x.getShard());
        }
        outlet.relay(a.target(), e.id, attempt, a.giveUpAt(), relay);
    }

    private void close(String id, Final how, long retryIn, Count count) {
        Entry e = entries.get(id);
        if (e != null && !e.answered) {
            counts.add(count);
            answer(e, how, retryIn, null);
        }
    }

    private void answer(Entry e, Final how, long retryIn, ByteString payload) {
        Answer.Builder answer =
                Answer.newBuilder()
                        .setNumber(e.access.getNumber())
                        .setFinal(how)
                        .setRetryIn(retryIn)
                        .setReason(Reason.DECIDED);
        if (payload != null) {
            answer.setPayload(payload);
        }
        outbox.post(e.client, Frame.newBuilder().setAnswer(answer).build());
        answered(
                e,
                how == Final.ANSWERED
                        ? Accounts.End.ANSWERED
                        : how == Final.REJECTED ? Accounts.End.REJECTED : Accounts.End.BROKEN_OFF);
    }

    /** For a fault of the decisions: everything held is broken off, which promises nothing. */
    void breakOffAll() {
        for (Entry e : List.copyOf(entries.values())) {
            close(e.id, Final.BROKEN_OFF, 0, Count.BROKEN_OFF);
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
