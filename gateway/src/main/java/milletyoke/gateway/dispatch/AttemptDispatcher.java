package milletyoke.gateway.dispatch;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.CancelAttempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Probe;

/**
 * The connections to all targets and what is out on them. Decides nothing on accesses: it carries
 * out relays, cancels and probes, and tells of each the one outcome that is true of it. Rule 2
 * rests on that: what was never handed to a connection is NO_CONNECTION or MOOT, what was handed
 * over and got no word is RESET, CANCELLED or TIMED_OUT.
 *
 * <p>Owned by the loop; free of sockets and clocks, so the lab can run it.
 */
public final class AttemptDispatcher {
    /**
     * A connection that carries one relay at a time rests so long behind a reply (microseconds).
     * Guards a relay against a second copy of the reply before its own, which may come some
     * milliseconds late: nothing in it says whose it is. While the connection rests the copy comes
     * when nothing is owed, and ends it. Seen 1 to 5 ms late; twice that. Could hold a relay back
     * for that long where no other connection is free.
     */
    static final long REUSE_DELAY_MICROS = 10_000;

    private final WriteBatch outbox;
    private final Transport transport;
    private final Connector dialler;
    private final AttemptListener outcomes;
    private final Counters counts;
    private final Map<String, Link> links = new LinkedHashMap<>();
    private final Map<Connection, Conn> conns = new HashMap<>();
    private final Map<String, OutboundAttempt> relays = new HashMap<>();
    private final PriorityQueue<OutboundAttempt> byDue =
            new PriorityQueue<>(Comparator.comparingLong(OutboundAttempt::nextDueMicros));
    private long now;
    private long nextNumber = 1;
    private long nextDial = 1;
    private long sweepAt;

    public AttemptDispatcher(
            Transport transport,
            Connector dialler,
            AttemptListener outcomes,
            Counters counts,
            WriteBatch outbox) {
        this.outbox = outbox;
        this.transport = transport;
        this.dialler = dialler;
        this.outcomes = outcomes;
        this.counts = counts;
    }

    /** One target: its address, its connections, and what waits for one. */
    private static final class Link {
        final String id;
        Address address;
        boolean listed;
        final List<Conn> conns = new ArrayList<>();
        final Map<Long, Dialling> dialling = new LinkedHashMap<>();
        final ArrayDeque<OutboundAttempt> waiting = new ArrayDeque<>();

        Link(String id) {
            this.id = id;
        }
    }

    private record Dialling(Connector.PendingConnect dial, long until) {}

    /** One connection and what is out on it. */
    static final class Conn {
        final String target;
        final Connection line;
        final Map<Long, OutboundAttempt> outs = new LinkedHashMap<>();
        long lastUse;

        /** A reply came on it. */
        boolean heard;

        Conn(String target, Connection line) {
            this.target = target;
            this.line = line;
        }
    }

    // ---- The list ----

    /** A target as listed; under a new address its old connections are left to finish. */
    public void targetListed(String target, Address address) {
        Link link = links.computeIfAbsent(target, Link::new);
        link.address = address;
        link.listed = true;
    }

    /**
     * A target that is no longer listed keeps what is out there, and is forgotten once nothing is.
     */
    public void targetUnlisted(long time, String target) {
        Link link = links.get(target);
        if (link != null) {
            link.listed = false;
            targetDraining(time, target);
        }
    }

    /**
     * A target that drains or is gone: what still waits for a connection to it never runs there.
     * Guards rule 3 where a connection may take longer to come up than the grace lasts. Could do no
     * harm: nothing of it has been sent.
     */
    public void targetDraining(long time, String target) {
        now = time;
        Link link = links.get(target);
        if (link != null) {
            List<OutboundAttempt> stranded = new ArrayList<>(link.waiting);
            link.waiting.clear();
            stranded.forEach(out -> end(out, Outcome.NO_CONNECTION, null, null));
        }
    }

    // ---- Orders ----

    public void sendAttempt(
            long time,
            String target,
            String id,
            int attempt,
            long giveUpAt,
            Attempt.Builder relay) {
        now = time;
        OutboundAttempt out =
                new OutboundAttempt(
                        target, id, attempt, now, giveUpAt, now + transport.connectTimeoutMicros());
        out.frameNumber = nextNumber++;
        out.frame = Frame.newBuilder().setAttempt(relay.setNumber(out.frameNumber)).build();
        relays.put(key(id, attempt), out);
        order(out);
    }

    public void sendProbe(long time, String target) {
        now = time;
        OutboundAttempt out =
                new OutboundAttempt(
                        target,
                        null,
                        0,
                        now,
                        now + transport.probeTime(),
                        now + transport.connectTimeoutMicros());
        out.frameNumber = nextNumber++;
        out.frame =
                Frame.newBuilder().setProbe(Probe.newBuilder().setNumber(out.frameNumber)).build();
        order(out);
    }

    /** Stops waiting for a relay; what was never handed over is MOOT, the rest CANCELLED. */
    public void cancelAttempt(long time, String id, int attempt) {
        now = time;
        OutboundAttempt out = relays.get(key(id, attempt));
        if (out == null) {
            return;
        }
        if (out.isSent()) {
            if (!exclusive()) {
                outbox.enqueue(
                        out.connection.line,
                        Frame.newBuilder()
                                .setCancelAttempt(
                                        CancelAttempt.newBuilder().setNumber(out.frameNumber))
                                .build());
            }
            end(out, Outcome.CANCELLED, null, null);
        } else {
            end(out, Outcome.NOT_STARTED, null, null);
        }
    }

    /**
     * Ends a relay that still waits for a connection, for its access is over. Guards targets
     * against work, and one-shot accesses against an effect, for a client that left before anything
     * was sent. What was sent goes on.
     */
    public void dropUnsent(long time, String id, int attempt) {
        now = time;
        OutboundAttempt out = relays.get(key(id, attempt));
        if (out != null && !out.isSent()) {
            end(out, Outcome.NOT_STARTED, null, null);
        }
    }

    private void order(OutboundAttempt out) {
        Link link = links.get(out.target);
        if (link == null || link.address == null) {
            end(out, Outcome.NO_CONNECTION, null, null);
            return;
        }
        if (!transmit(link, out)) {
            if (resting(link) <= link.waiting.size()
                    && link.conns.size() + link.dialling.size() < transport.connections()) {
                dial(link);
            }
            if (link.dialling.isEmpty() && !(exclusive() && hasOpen(link))) {
                end(out, Outcome.NO_CONNECTION, null, null);
                return;
            }
            link.waiting.add(out);
        }
        byDue.add(out);
    }

    /**
     * Whether a connection carries one relay at a time: then one that was given up is ended by
     * closing its connection, and what finds none free waits for one, for as long as it may wait
     * for a new one.
     */
    private boolean exclusive() {
        return transport.streams() == 1;
    }

    /**
     * Sends on the connection with the fewest out; false where none has room. Of those that carry
     * one at a time the one that rested longest: a target that sends more than it owes shows it
     * there before the next relay could take it for its reply.
     */
    private boolean transmit(Link link, OutboundAttempt out) {
        Conn least = null;
        for (Conn c : link.conns) {
            boolean room =
                    c.outs.size() < transport.streams() && c.line.isOpen() && now >= rested(c);
            boolean better =
                    least == null
                            || c.outs.size() < least.outs.size()
                            || exclusive() && c.lastUse < least.lastUse;
            least = room && better ? c : least;
        }
        if (least == null || !outbox.enqueue(least.line, out.frameAt(now))) {
            return false;
        }
        out.connection = least;
        out.frame = null;
        least.outs.put(out.frameNumber, out);
        least.lastUse = now;
        return true;
    }

    /** From when on a connection may be used; 0 where it need not rest. */
    private long rested(Conn c) {
        return exclusive() && c.heard ? c.lastUse + REUSE_DELAY_MICROS : 0;
    }

    /** Connections that only rest: what waits for them needs no new ones. */
    private int resting(Link link) {
        int resting = 0;
        for (Conn c : link.conns) {
            resting +=
                    exclusive() && c.outs.isEmpty() && c.line.isOpen() && now < rested(c) ? 1 : 0;
        }
        return resting;
    }

    /** When the first connection that something waits for has rested; Long.MAX_VALUE for never. */
    private long nextRested() {
        long next = Long.MAX_VALUE;
        if (!exclusive()) {
            return next; // asked each turn: not to cost what the targets are many where nothing
            // rests
        }
        for (Link link : links.values()) {
            for (Conn c : link.waiting.isEmpty() ? List.<Conn>of() : link.conns) {
                next = c.outs.isEmpty() && c.line.isOpen() ? Math.min(next, rested(c)) : next;
            }
        }
        return next;
    }

    private static boolean hasOpen(Link link) {
        return link.conns.stream().anyMatch(c -> c.line.isOpen());
    }

    private void dial(Link link) {
        long number = nextDial++;
        counts.increment(Counter.CONNECTS);
        link.dialling.put(
                number,
                new Dialling(
                        dialler.connect(link.id, link.address, number),
                        now + transport.connectTimeoutMicros()));
    }

    // ---- What connections tell ----

    public void connectSucceeded(long time, String target, long dial, Connection line) {
        now = time;
        Link link = links.get(target);
        if (link == null || link.dialling.remove(dial) == null) {
            line.close("came too late"); // it was given up, and what waited for it has its outcome
            return;
        }
        Conn conn = new Conn(target, line);
        conn.lastUse = now;
        link.conns.add(conn);
        conns.put(line, conn);
        serveWaiting(link);
    }

    private void serveWaiting(Link link) {
        while (!link.waiting.isEmpty()) {
            OutboundAttempt out = link.waiting.peekFirst();
            boolean late = now >= out.nextDueMicros(); // the look at the clock that ends it comes
            // later in this turn
            if (!out.isEnded && !late && !transmit(link, out)) {
                return;
            }
            link.waiting.removeFirst();
            if (!out.isEnded && !late) {
                byDue.remove(out); // its due time is another now
                byDue.add(out);
            }
        }
    }

    public void connectFailed(long time, String target, long dial, String why) {
        now = time;
        Link link = links.get(target);
        if (link != null && link.dialling.remove(dial) != null) {
            counts.increment(Counter.CONNECTS_FAILED);
            failWaiting(link);
        }
    }

    private void failWaiting(Link link) {
        if (link.dialling.isEmpty()) {
            List<OutboundAttempt> failed = new ArrayList<>(link.waiting);
            link.waiting.clear();
            failed.forEach(out -> end(out, Outcome.NO_CONNECTION, null, null));
        }
    }

    /**
     * A connection ended.
     *
     * @param refused the target said that it took nothing of what was sent there. Guards one-shot
     *     accesses that were handed to a connection over the target's bound, which were broken off
     *     as unsure. Could do harm where a target says so of a connection on which it has answered,
     *     so that is not believed.
     * @param unwritten the relay whose last byte never left this machine; 0 for none
     */
    public void connectionLost(
            long time, String target, Connection line, boolean refused, long unwritten) {
        now = time;
        Conn conn = conns.remove(line);
        if (conn == null) {
            return;
        }
        Link link = links.get(target);
        link.conns.remove(conn);
        if (!conn.outs.isEmpty()) {
            counts.increment(Counter.CONNECTIONS_LOST);
        }
        Outcome became = refused && !conn.heard ? Outcome.NO_CONNECTION : Outcome.RESET;
        new ArrayList<>(conn.outs.values())
                .forEach(
                        out ->
                                end(
                                        out,
                                        out.frameNumber == unwritten
                                                ? Outcome.NO_CONNECTION
                                                : became,
                                        null,
                                        null));
        if (!link.waiting.isEmpty() && !hasOpen(link)) {
            failWaiting(link); // nothing is left that could come free
        }
    }

    /** Drops a reply to what is no longer out: given up, cancelled, or answered already. */
    public void attemptReplied(long time, long at, Connection line, AttemptReply reply) {
        now = time;
        Conn conn = conns.get(line);
        OutboundAttempt out = conn == null ? null : conn.outs.get(reply.getNumber());
        if (conn != null) {
            conn.heard = true;
        }
        if (out == null) {
            counts.increment(Counter.LATE_REPLIES);
            return;
        }
        conn.lastUse = now;
        out.repliedAtMicros = at;
        end(out, outcome(reply), reply.hasLoad() ? reply.getLoad() : null, reply.getPayload());
    }

    /**
     * A target tells what became of an access; what only this end can know, it cannot tell: that is
     * an error.
     */
    private static Outcome outcome(AttemptReply reply) {
        return switch (reply.getOutcome()) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case OVERLOADED -> Outcome.OVERLOADED;
            case NOT_STARTED -> Outcome.NOT_STARTED;
            default -> Outcome.ERROR;
        };
    }

    public void probeReplied(long time, long at, Connection line, long number, Load load) {
        now = time;
        Conn conn = conns.get(line);
        OutboundAttempt out = conn == null ? null : conn.outs.get(number);
        if (conn != null) {
            conn.heard = true;
        }
        if (out == null || !out.isProbe()) {
            counts.increment(Counter.LATE_REPLIES);
            return;
        }
        conn.lastUse = now;
        out.repliedAtMicros = at;
        end(out, Outcome.SUCCEEDED, load, null);
    }

    // ---- Time ----

    /** When {@link #handleTimeouts} has something to do next; Long.MAX_VALUE for never. */
    public long nextDueMicros() {
        while (!byDue.isEmpty() && byDue.peek().isEnded) {
            byDue.poll();
        }
        return Math.min(
                Math.min(
                        nextRested(),
                        byDue.isEmpty() ? Long.MAX_VALUE : byDue.peek().nextDueMicros()),
                links.isEmpty() ? Long.MAX_VALUE : sweepAt);
    }

    /** Ends what is past its time, gives up dials, closes idle connections. */
    public void handleTimeouts(long time) {
        now = time;
        if (exclusive() && nextRested() <= now) {
            links.values().stream().filter(l -> !l.waiting.isEmpty()).forEach(this::serveWaiting);
        }
        while (nextOver() != null) {
            OutboundAttempt out = byDue.poll();
            // Not sent by its time to give up: moot. Not sent by the time to connect: no
            // connection.
            Outcome unsent =
                    now >= out.connectDeadlineMicros ? Outcome.NO_CONNECTION : Outcome.NOT_STARTED;
            end(out, out.isSent() ? Outcome.TIMED_OUT : unsent, null, null);
        }
        if (now >= sweepAt) {
            sweepAt = now + Math.max(1_000, Math.min(transport.connectTimeoutMicros(), 250_000));
            links.values().forEach(this::sweep);
            links.values().removeIf(l -> !l.listed && l.conns.isEmpty() && l.dialling.isEmpty());
        }
    }

    private OutboundAttempt nextOver() {
        while (!byDue.isEmpty() && byDue.peek().isEnded) {
            byDue.poll();
        }
        return !byDue.isEmpty() && byDue.peek().nextDueMicros() <= now ? byDue.peek() : null;
    }

    private void sweep(Link link) {
        link.waiting.removeIf(out -> out.isEnded);
        boolean gaveUp =
                link.dialling
                        .values()
                        .removeIf(
                                d -> {
                                    if (now >= d.until()) {
                                        d.dial().cancel();
                                        counts.increment(Counter.CONNECTS_FAILED);
                                        return true;
                                    }
                                    return false;
                                });
        if (gaveUp) {
            failWaiting(link);
        }
        if (transport.idleTimeoutMicros() > 0) {
            for (Conn c : List.copyOf(link.conns)) {
                if (c.outs.isEmpty() && now - c.lastUse > transport.idleTimeoutMicros()) {
                    c.line.closeWithReason("idle");
                }
            }
        }
    }

    private void end(OutboundAttempt out, Outcome outcome, Load load, ByteString payload) {
        if (out.isEnded) {
            return;
        }
        out.isEnded = true;
        out.frame = null;
        if (out.isSent()) {
            out.connection.outs.remove(out.frameNumber);
        }
        long lag =
                Math.max(
                        0,
                        (out.repliedAtMicros > 0 ? out.repliedAtMicros : now)
                                - out.orderedAtMicros);
        if (out.isProbe()) {
            double waiting = load != null && load.hasQueueLength() ? load.getQueueLength() : -1;
            outcomes.onProbeEnded(out.target, outcome, lag, waiting);
        } else {
            relays.remove(key(out.requestId, out.attemptNumber));
            outcomes.onAttemptEnded(out.requestId, out.attemptNumber, outcome, lag, load, payload);
        }
        if (exclusive() && out.isSent()) {
            freed(out, outcome);
        }
    }

    /**
     * A given-up relay's connection is ended, for its reply may yet come; any other is for what
     * waits, once it has rested.
     */
    private void freed(OutboundAttempt out, Outcome outcome) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT) {
            out.connection.line.close("what was sent there was given up");
        }
    }

    private static String key(String id, int attempt) {
        return id + "/" + attempt;
    }

    /** Relays and probes with no outcome yet. */
    public int outstandingCount() {
        return (int) conns.values().stream().mapToLong(c -> c.outs.size()).sum()
                + links.values().stream().mapToInt(l -> l.waiting.size()).sum();
    }
}
