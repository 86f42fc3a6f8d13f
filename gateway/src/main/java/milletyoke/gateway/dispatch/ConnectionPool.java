package milletyoke.gateway.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig.Transport;

/**
 * Pool of the established and pending connections to one target, and the attempts that wait for
 * one. It neither sends attempts nor reports outcomes. Owned by the event loop.
 */
final class ConnectionPool {
    /**
     * Delay after a reply before a connection that carries one attempt at a time is reused. A
     * target may send a duplicate of the reply, which does not identify its attempt. If it arrives
     * within the delay, nothing is in flight, and the connection is closed. Duplicates arrive 1 to
     * 5 ms after the reply; the delay is twice the longest.
     */
    static final long REUSE_DELAY_MICROS = 10_000;

    private record PendingConnectEntry(Connector.PendingConnect connect, long deadlineMicros) {}

    private final String target;
    private final Transport transport;
    private final List<PooledConnection> connections = new ArrayList<>();
    private final Map<Long, PendingConnectEntry> pendingConnects = new LinkedHashMap<>();
    private final ArrayDeque<OutboundAttempt> waiting = new ArrayDeque<>();

    /** Null until the target is listed. */
    private Address address;

    private boolean isListed;

    ConnectionPool(String target, Transport transport) {
        this.target = target;
        this.transport = transport;
    }

    // ---- Target ----

    /** Sets the address; connections to an earlier address are kept until they end. */
    void setListed(Address newAddress) {
        address = newAddress;
        isListed = true;
    }

    void setUnlisted() {
        isListed = false;
    }

    /**
     * Whether the target is unlisted and has no connections left, so that the pool can be dropped.
     */
    boolean isDisposable() {
        return !isListed && connections.isEmpty() && pendingConnects.isEmpty();
    }

    // ---- Established connections ----

    /** Whether a connection carries only one attempt at a time. */
    private boolean isExclusive() {
        return transport.maxAttemptsPerConnection() == 1;
    }

    void add(PooledConnection connection) {
        connections.add(connection);
    }

    void remove(PooledConnection connection) {
        connections.remove(connection);
    }

    boolean hasOpenConnection() {
        for (PooledConnection connection : connections) {
            if (connection.isOpen()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the connection to send on next, or null if none is available. This is the connection
     * with the fewest attempts in flight. Among exclusive connections it is the least recently
     * used, so that a surplus reply is detected there before it can be mistaken for the reply to
     * the next attempt.
     */
    PooledConnection findAvailable(long nowMicros) {
        PooledConnection best = null;
        for (PooledConnection candidate : connections) {
            if (hasRoom(candidate, nowMicros) && isBetter(candidate, best)) {
                best = candidate;
            }
        }
        return best;
    }

    private boolean hasRoom(PooledConnection candidate, long nowMicros) {
        return candidate.inFlight.size() < transport.maxAttemptsPerConnection()
                && candidate.isOpen()
                && nowMicros >= reusableAtMicros(candidate);
    }

    private boolean isBetter(PooledConnection candidate, PooledConnection best) {
        return best == null
                || candidate.inFlight.size() < best.inFlight.size()
                || (isExclusive() && candidate.lastUsedMicros < best.lastUsedMicros);
    }

    /** Returns when a connection may be reused; 0 if there is no delay. */
    private long reusableAtMicros(PooledConnection connection) {
        return isExclusive() && connection.hasReceivedReply
                ? connection.lastUsedMicros + REUSE_DELAY_MICROS
                : 0;
    }

    /** Returns the number of idle connections in their reuse delay. */
    private int countInReuseDelay(long nowMicros) {
        int count = 0;
        for (PooledConnection connection : connections) {
            if (isExclusive()
                    && connection.isIdle()
                    && connection.isOpen()
                    && nowMicros < reusableAtMicros(connection)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns when the first idle connection may be reused by a waiting attempt; Long.MAX_VALUE for
     * never.
     */
    long nextReusableMicros() {
        long next = Long.MAX_VALUE;
        if (waiting.isEmpty()) {
            return next;
        }
        for (PooledConnection connection : connections) {
            if (connection.isIdle() && connection.isOpen()) {
                next = Math.min(next, reusableAtMicros(connection));
            }
        }
        return next;
    }

    /** Closes connections that were idle for longer than the idle timeout, if there is one. */
    void closeIdle(long nowMicros) {
        if (transport.idleTimeoutMicros() <= 0) {
            return;
        }
        for (PooledConnection connection : List.copyOf(connections)) {
            long idleMicros = nowMicros - connection.lastUsedMicros;
            if (connection.isIdle() && idleMicros > transport.idleTimeoutMicros()) {
                connection.connection.closeWithReason("idle");
            }
        }
    }

    // ---- Pending connects ----

    /** Whether one more waiting attempt requires a new connection and the limit allows one. */
    boolean needsConnect(long nowMicros) {
        return countInReuseDelay(nowMicros) <= waiting.size()
                && connections.size() + pendingConnects.size()
                        < transport.maxConnectionsPerTarget();
    }

    void connect(Connector connector, long connectNumber, long nowMicros) {
        pendingConnects.put(
                connectNumber,
                new PendingConnectEntry(
                        connector.connect(target, address, connectNumber),
                        nowMicros + transport.connectTimeoutMicros()));
    }

    boolean hasAddress() {
        return address != null;
    }

    /** Whether a connection may become available to a waiting attempt. */
    boolean canWait() {
        return hasPendingConnect() || (isExclusive() && hasOpenConnection());
    }

    boolean hasPendingConnect() {
        return !pendingConnects.isEmpty();
    }

    /** Removes a pending connect that ended; returns false if it was already cancelled. */
    boolean removePendingConnect(long connectNumber) {
        return pendingConnects.remove(connectNumber) != null;
    }

    /** Cancels pending connects past their deadline and returns their number. */
    int cancelExpiredConnects(long nowMicros) {
        int cancelledCount = 0;
        Iterator<PendingConnectEntry> entries = pendingConnects.values().iterator();
        while (entries.hasNext()) {
            PendingConnectEntry entry = entries.next();
            if (nowMicros >= entry.deadlineMicros()) {
                entry.connect().cancel();
                entries.remove();
                cancelledCount++;
            }
        }
        return cancelledCount;
    }

    // ---- Waiting attempts ----

    void addWaiting(OutboundAttempt attempt) {
        waiting.add(attempt);
    }

    /** Returns the attempt that has waited longest; null if none. */
    OutboundAttempt firstWaiting() {
        return waiting.peekFirst();
    }

    void removeFirstWaiting() {
        waiting.removeFirst();
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    int waitingCount() {
        return waiting.size();
    }

    /** Removes and returns all waiting attempts. */
    List<OutboundAttempt> removeAllWaiting() {
        List<OutboundAttempt> removed = new ArrayList<>(waiting);
        waiting.clear();
        return removed;
    }

    void removeEndedWaiting() {
        waiting.removeIf(attempt -> attempt.isEnded);
    }
}
