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
 * Dispatches attempts and probes to targets, and reports exactly one outcome for each. It makes no
 * scheduling decisions. The outcome is NO_CONNECTION or NOT_STARTED if the attempt was never handed
 * to a connection, and RESET, CANCELLED or TIMED_OUT if it was handed over and got no reply. The
 * guarantee that no request is executed twice relies on this distinction.
 *
 * <p>Owned by the event loop. Uses no sockets and no clock, so that a simulation can run it.
 */
public final class AttemptDispatcher {
    private final WriteBatch writeBatch;
    private final Transport transport;
    private final Connector connector;
    private final Counters counters;
    private final Map<String, ConnectionPool> pools = new LinkedHashMap<>();
    private final Map<Connection, PooledConnection> connections = new HashMap<>();
    private final OutstandingAttempts outstanding;
    private final AttemptTimeouts timeouts = new AttemptTimeouts();
    private final PoolSweep poolSweep;

    /** Time of the current call. */
    private long nowMicros;

    private long nextFrameNumber = 1;
    private long nextConnectNumber = 1;

    /**
     * Creates a dispatcher without targets.
     *
     * @param writeBatch collects the frames; the caller flushes it at the end of its turn
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
        outstanding = new OutstandingAttempts(listener, isExclusive(), timeouts);
        poolSweep =
                new PoolSweep(
                        transport, counters, pools.values(), this::failWaitingUnlessConnecting);
    }

    // ---- Endpoint list ----

    /** Sets a target's address; attempts in flight to an earlier address continue. */
    public void targetListed(String target, Address address) {
        pools.computeIfAbsent(target, id -> new ConnectionPool(id, transport)).setListed(address);
    }

    /** Handles the removal of a target: attempts in flight continue, then its pool is dropped. */
    public void targetUnlisted(long now, String target) {
        ConnectionPool pool = pools.get(target);
        if (pool != null) {
            pool.setUnlisted();
            targetDraining(now, target);
        }
    }

    /**
     * Ends the attempts that wait for a connection to a target that drains or left the list. A
     * connection may take longer to establish than the grace period of the target.
     */
    public void targetDraining(long now, String target) {
        nowMicros = now;
        ConnectionPool pool = pools.get(target);
        if (pool != null) {
            failWaiting(pool);
        }
    }

    private void failWaiting(ConnectionPool pool) {
        for (OutboundAttempt attempt : pool.removeAllWaiting()) {
            end(attempt, Outcome.NO_CONNECTION);
        }
    }

    // ---- Actions of the scheduler ----

    /** Sends an attempt; its outcome is reported at {@code deadlineMicros} at the latest. */
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

    /** Sends a probe that asks the target for its load. */
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

    /** Cancels an attempt, with outcome CANCELLED if it was sent and NOT_STARTED if not. */
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
     * Ends an attempt that still waits for a connection, because its request is closed and must
     * have no effect any more. An attempt that was sent continues.
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
        timeouts.put(attempt);
    }

    /**
     * Whether a connection carries only one attempt at a time. If so, an attempt is abandoned by
     * closing its connection, and an attempt without a free connection waits for one, up to the
     * connect timeout.
     */
    private boolean isExclusive() {
        return transport.maxAttemptsPerConnection() == 1;
    }

    /** Sends an attempt on one of the pool's connections; returns false if none accepts it. */
    private boolean transmit(ConnectionPool pool, OutboundAttempt attempt) {
        PooledConnection available = pool.findAvailable(nowMicros);
        if (available == null
                || !writeBatch.enqueue(available.connection, attempt.frameAt(nowMicros))) {
            return false;
        }
        attempt.markSent(available);
        available.inFlight.put(attempt.frameNumber, attempt);
        available.lastUsedMicros = nowMicros;
        if (!available.connection.reportsWrites()) {
            outstanding.reportWritten(attempt, nowMicros);
        }
        return true;
    }

    private void sendWaiting(ConnectionPool pool) {
        while (pool.hasWaiting()) {
            OutboundAttempt attempt = pool.firstWaiting();
            boolean isDue = nowMicros >= attempt.nextDueMicros(); // handleTimeouts ends it
            boolean isSendable = !attempt.isEnded && !isDue;
            if (isSendable && !transmit(pool, attempt)) {
                return;
            }
            pool.removeFirstWaiting();
            if (isSendable) {
                timeouts.put(attempt);
            }
        }
    }

    // ---- Connection events ----

    /** Handles an established connection; closes it if its connect was already cancelled. */
    public void connectSucceeded(
            long now, String target, long connectNumber, Connection connection) {
        nowMicros = now;
        ConnectionPool pool = pools.get(target);
        if (pool == null || !pool.removePendingConnect(connectNumber)) {
            connection.close("connect was already cancelled"); // attempts that waited have ended
            return;
        }
        PooledConnection pooled = new PooledConnection(connection, now);
        pool.add(pooled);
        connections.put(connection, pooled);
        sendWaiting(pool);
    }

    /** Handles a failed connect; ends the waiting attempts unless another connect is pending. */
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
     * Handles the end of a connection.
     *
     * @param refused whether the target stated that it processed nothing sent on the connection, so
     *     that non-idempotent requests need not fail with unknown effect; ignored if the target has
     *     replied on the connection
     * @param unwritten frame number of the attempt whose last byte never left this machine; 0 if
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
            failWaitingUnlessConnecting(pool); // no open connection is left to wait for
        }
    }

    /** Handles the writing of a frame; ignored if its attempt or probe is no longer in flight. */
    public void frameWritten(Connection connection, long frameNumber, long writtenAtMicros) {
        PooledConnection pooled = connections.get(connection);
        OutboundAttempt attempt = pooled == null ? null : pooled.inFlight.get(frameNumber);
        if (attempt != null) {
            outstanding.reportWritten(attempt, writtenAtMicros);
        }
    }

    /** Handles a reply to an attempt; ignored if the attempt is no longer in flight. */
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

    /** Handles a reply to a probe; ignored if the probe is no longer in flight. */
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

    /** Returns the attempt or probe that a reply belongs to; null if it is no longer in flight. */
    private OutboundAttempt findReplied(Connection connection, long frameNumber) {
        connection.replyHandled();
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

    // ---- Timeouts ----

    /** Returns when {@link #handleTimeouts} must run next; Long.MAX_VALUE for never. */
    public long nextDueMicros() {
        return Math.min(
                Math.min(nextReusableMicros(), timeouts.nextDueMicros()),
                poolSweep.nextDueMicros());
    }

    /** Returns when the first awaited connection may be reused; Long.MAX_VALUE for never. */
    private long nextReusableMicros() {
        long next = Long.MAX_VALUE;
        if (!isExclusive()) {
            return next; // without a reuse delay, avoid iterating over all pools in every turn
        }
        for (ConnectionPool pool : pools.values()) {
            next = Math.min(next, pool.nextReusableMicros());
        }
        return next;
    }

    /**
     * Ends timed-out attempts and probes, cancels overdue connects, and closes idle connections.
     */
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
        poolSweep.runIfDue(now);
    }

    private void end(OutboundAttempt attempt, Outcome outcome) {
        outstanding.end(nowMicros, attempt, outcome);
    }

    /**
     * Counts attempts and probes without an outcome, and ended ones that the next sweep removes.
     */
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
