package milletyoke.gateway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Load;

/**
 * Attempts and probes from the order to send them to their outcome. It decides nothing on requests:
 * it sends, cancels and probes as ordered, and reports for each the one outcome that is true of it.
 * What was never handed to a connection is NO_CONNECTION or NOT_STARTED; what was handed over and
 * got no reply is RESET, CANCELLED or TIMED_OUT. The rule that nothing runs twice rests on that
 * distinction.
 *
 * <p>Owned by the event loop; free of sockets and clocks, so that a simulation can run it.
 */
public final class AttemptDispatcher {
    private static final long MIN_SWEEP_INTERVAL_MICROS = 1_000;
    private static final long MAX_SWEEP_INTERVAL_MICROS = 250_000;

    private final WriteBatch writeBatch;
    private final Transport transport;
    private final Connector connector;
    private final Counters counters;
    private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();
    private final Map<Connection, PooledConnection> connections = new HashMap<>();
    private final OutstandingAttempts outstanding;
    private final AttemptTimeouts timeouts = new AttemptTimeouts();

    /** When the call in progress was made. */
    private long nowMicros;

    private long nextFrameNumber = 1;
    private long nextConnectNumber = 1;
    private long nextSweepMicros;

    /**
     * Creates a dispatcher that knows no target.
     *
     * @param writeBatch is flushed by the caller at the end of its turn
     */
    public AttemptDispatcher(
            Transport transport,
            Connector connector,
            AttemptListener listener,
            Counters counters,
            WriteBatch writeBatch) {
        this.writeBatch = writeBatch;
        this.transport = transport;
        this.connector = connector;
        this.counters = counters;
        outstanding = new OutstandingAttempts(listener, isExclusive());
    }

    // ---- Endpoint list ----

    /** Sets a target's address; connections to an earlier address finish what is in flight. */
    public void targetListed(String target, Address address) {
        pools.computeIfAbsent(target, id -> new ConnectionPool(id, transport)).setListed(address);
    }

    /** The target left the list: what is in flight there goes on, then the target is forgotten. */
    public void targetUnlisted(long now, String target) {
        ConnectionPool pool = pools.get(target);
        if (pool != null) {
            pool.setUnlisted();
            targetDraining(now, target);
        }
    }

    /**
     * The target drains or left the list: attempts that wait for a connection to it end as never
     * sent. A connection may take longer to come up than the target's grace period lasts.
     */
    public void targetDraining(long now, String target) {
        nowMicros = now;
        ConnectionPool pool = pools.get(target);
        if (pool != null) {
            failWaiting(pool);
        }
    }

    private void failWaiting(ConnectionPool pool) {
        for (OutboundAttempt attempt : pool.takeWaiting()) {
            end(attempt, Outcome.NO_CONNECTION);
        }
    }

    // ---- Orders ----

    /** Sends an attempt; its outcome comes at {@code deadlineMicros} at the latest. */
    public void sendAttempt(
            long now,
            String target,
            String requestId,
            int attemptNumber,
            long deadlineMicros,
            Attempt.Builder attempt) {
        nowMicros = now;
        OutboundAttempt outbound =
                OutboundAttempt.ofAttempt(
                        target,
                        requestId,
                        attemptNumber,
                        attempt,
                        nextFrameNumber++,
                        now,
                        deadlineMicros,
                        now + transport.connectTimeoutMicros());
        outstanding.add(outbound);
        dispatch(outbound);
    }

    /** Sends a probe for the target's load. */
    public void sendProbe(long now, String target) {
        nowMicros = now;
        dispatch(
                OutboundAttempt.ofProbe(
                        target,
                        nextFrameNumber++,
                        now,
                        now + transport.probeTimeoutMicros(),
                        now + transport.connectTimeoutMicros()));
    }

    /**
     * Stops waiting for an attempt: NOT_STARTED where it was never sent, CANCELLED where it was.
     */
    public void cancelAttempt(long now, String requestId, int attemptNumber) {
        nowMicros = now;
        OutboundAttempt attempt = outstanding.find(requestId, attemptNumber);
        if (attempt == null) {
            return;
        }
        if (!attempt.isSent()) {
            end(attempt, Outcome.NOT_STARTED);
            return;
        }
        if (!isExclusive()) {
            writeBatch.enqueue(attempt.connection.connection, attempt.cancelFrame());
        }
        end(attempt, Outcome.CANCELLED);
    }

    /**
     * Ends an attempt that still waits for a connection, for its request is over: it must have no
     * effect after its client left. One that was sent goes on.
     */
    public void dropUnsent(long now, String requestId, int attemptNumber) {
        nowMicros = now;
        OutboundAttempt attempt = outstanding.find(requestId, attemptNumber);
        if (attempt != null && !attempt.isSent()) {
            end(attempt, Outcome.NOT_STARTED);
        }
    }

    private void dispatch(OutboundAttempt attempt) {
        ConnectionPool pool = pools.get(attempt.target);
        if (pool == null || !pool.hasAddress()) {
            end(attempt, Outcome.NO_CONNECTION);
            return;
        }
        if (!transmit(pool, attempt)) {
            if (pool.needsConnect(nowMicros)) {
                counters.increment(Counter.CONNECTS);
                pool.connect(connector, nextConnectNumber++, nowMicros);
            }
            if (!pool.canWait()) {
                end(attempt, Outcome.NO_CONNECTION);
                return;
            }
            pool.addWaiting(attempt);
        }
        timeouts.add(attempt);
    }

    /**
     * Whether a connection carries one attempt at a time. Then an attempt is given up by closing
     * its connection, and one that finds none free waits for one, for as long as it may wait for a
     * new one.
     */
    private boolean isExclusive() {
        return transport.maxAttemptsPerConnection() == 1;
    }

    /** Sends on one of the pool's connections; false where none takes it. */
    private boolean transmit(ConnectionPool pool, OutboundAttempt attempt) {
        PooledConnection available = pool.findAvailable(nowMicros);
        if (available == null
                || !writeBatch.enqueue(available.connection, attempt.frameAt(nowMicros))) {
            return false;
        }
        attempt.markSent(available);
        available.inFlight.put(attempt.frameNumber, attempt);
        available.lastUsedMicros = nowMicros;
        return true;
    }

    private void sendWaiting(ConnectionPool pool) {
        while (pool.hasWaiting()) {
            OutboundAttempt attempt = pool.firstWaiting();
            boolean isDue = nowMicros >= attempt.nextDueMicros(); // ended later in this turn
            boolean canSend = !attempt.isEnded && !isDue;
            if (canSend && !transmit(pool, attempt)) {
                return;
            }
            pool.removeFirstWaiting();
            if (canSend) {
                timeouts.update(attempt);
            }
        }
    }

    // ---- Events of connections ----

    /** A connection is ready; it is closed where its connect was given up before. */
    public void connectSucceeded(
            long now, String target, long connectNumber, Connection connection) {
        nowMicros = now;
        ConnectionPool pool = pools.get(target);
        if (pool == null || !pool.removePendingConnect(connectNumber)) {
            connection.close("came too late"); // what waited for it has its outcome
            return;
        }
        PooledConnection pooled = new PooledConnection(connection, now);
        pool.add(pooled);
        connections.put(connection, pooled);
        sendWaiting(pool);
    }

    /** A connect failed; what waits for it ends unless another connect is pending. */
    public void connectFailed(long now, String target, long connectNumber, String reason) {
        nowMicros = now;
        ConnectionPool pool = pools.get(target);
        if (pool != null && pool.removePendingConnect(connectNumber)) {
            counters.increment(Counter.CONNECTS_FAILED);
            failWaitingUnlessConnecting(pool);
        }
    }

    private void failWaitingUnlessConnecting(ConnectionPool pool) {
        if (!pool.hasPendingConnect()) {
            failWaiting(pool);
        }
    }

    /**
     * A connection ended.
     *
     * @param refused the target stated that it processed nothing of what was sent there, so that
     *     non-idempotent requests need not fail as unknown. It is not believed of a connection on
     *     which the target has replied.
     * @param unwritten frame number of the attempt whose last byte never left this machine; 0 for
     *     none
     */
    public void connectionLost(
            long now, String target, Connection connection, boolean refused, long unwritten) {
        nowMicros = now;
        PooledConnection lost = connections.remove(connection);
        if (lost == null) {
            return;
        }
        ConnectionPool pool = pools.get(target);
        pool.remove(lost);
        if (!lost.isIdle()) {
            counters.increment(Counter.CONNECTIONS_LOST);
        }
        boolean isRefused = refused && !lost.hasReceivedReply;
        for (OutboundAttempt attempt : new ArrayList<>(lost.inFlight.values())) {
            boolean neverArrived = isRefused || attempt.frameNumber == unwritten;
            end(attempt, neverArrived ? Outcome.NO_CONNECTION : Outcome.RESET);
        }
        if (pool.hasWaiting() && !pool.hasOpenConnection()) {
            failWaitingUnlessConnecting(pool); // no connection is left that could become free
        }
    }

    /** A reply to an attempt; dropped where the attempt is no longer in flight. */
    public void attemptReplied(
            long now, long receivedAtMicros, Connection connection, AttemptReply reply) {
        nowMicros = now;
        OutboundAttempt attempt = findReplied(connection, reply.getNumber());
        if (attempt == null) {
            counters.increment(Counter.LATE_REPLIES);
            return;
        }
        markReplied(attempt, receivedAtMicros);
        outstanding.endReplied(nowMicros, attempt, reply);
    }

    /** A reply to a probe; dropped where the probe is no longer in flight. */
    public void probeReplied(
            long now, long receivedAtMicros, Connection connection, long number, Load load) {
        nowMicros = now;
        OutboundAttempt probe = findReplied(connection, number);
        if (probe == null || !probe.isProbe()) {
            counters.increment(Counter.LATE_REPLIES);
            return;
        }
        markReplied(probe, receivedAtMicros);
        outstanding.end(nowMicros, probe, Outcome.SUCCEEDED, load, null);
    }

    /** What a reply on this connection answers; null where that is no longer in flight. */
    private OutboundAttempt findReplied(Connection connection, long frameNumber) {
        PooledConnection pooled = connections.get(connection);
        if (pooled == null) {
            return null;
        }
        pooled.hasReceivedReply = true;
        return pooled.inFlight.get(frameNumber);
    }

    private void markReplied(OutboundAttempt attempt, long receivedAtMicros) {
        attempt.connection.lastUsedMicros = nowMicros;
        attempt.repliedAtMicros = receivedAtMicros;
    }

    // ---- Time ----

    /** When {@link #handleTimeouts} has something to do next; Long.MAX_VALUE for never. */
    public long nextDueMicros() {
        long nextSweep = pools.isEmpty() ? Long.MAX_VALUE : nextSweepMicros;
        return Math.min(Math.min(nextReusableMicros(), timeouts.nextDueMicros()), nextSweep);
    }

    /** When the first awaited connection may be reused; Long.MAX_VALUE for never. */
    private long nextReusableMicros() {
        long next = Long.MAX_VALUE;
        if (!isExclusive()) {
            return next; // each turn asks: no walk over all targets where there is no reuse delay
        }
        for (ConnectionPool pool : pools.values()) {
            next = Math.min(next, pool.nextReusableMicros());
        }
        return next;
    }

    /** Ends what has timed out, gives up connects, and closes idle connections. */
    public void handleTimeouts(long now) {
        nowMicros = now;
        if (isExclusive() && nextReusableMicros() <= now) {
            pools.values().stream().filter(ConnectionPool::hasWaiting).forEach(this::sendWaiting);
        }
        OutboundAttempt due = timeouts.pollDue(now);
        while (due != null) {
            end(due, due.timeoutOutcome(now));
            due = timeouts.pollDue(now);
        }
        if (now >= nextSweepMicros) {
            sweep();
        }
    }

    private void sweep() {
        long intervalMicros = Math.min(transport.connectTimeoutMicros(), MAX_SWEEP_INTERVAL_MICROS);
        nextSweepMicros = nowMicros + Math.max(MIN_SWEEP_INTERVAL_MICROS, intervalMicros);
        pools.values().forEach(this::sweep);
        pools.values().removeIf(ConnectionPool::isDisposable);
    }

    private void sweep(ConnectionPool pool) {
        pool.removeEndedWaiting();
        int cancelledCount = pool.cancelExpiredConnects(nowMicros);
        for (int i = 0; i < cancelledCount; i++) {
            counters.increment(Counter.CONNECTS_FAILED);
        }
        if (cancelledCount > 0) {
            failWaitingUnlessConnecting(pool);
        }
        pool.closeIdle(nowMicros);
    }

    private void end(OutboundAttempt attempt, Outcome outcome) {
        outstanding.end(nowMicros, attempt, outcome);
    }

    /** Attempts and probes without an outcome, and those whose end the next sweep removes. */
    public int outstandingCount() {
        int outstandingCount = 0;
        for (PooledConnection connection : connections.values()) {
            outstandingCount += connection.inFlight.size();
        }
        for (ConnectionPool pool : pools.values()) {
            outstandingCount += pool.waitingCount();
        }
        return outstandingCount;
    }
}
