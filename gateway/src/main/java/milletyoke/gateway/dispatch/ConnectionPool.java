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
 * One target's connections: those that are established, those that are pending, and the attempts
 * that wait for one. It sends nothing and gives no outcomes. Owned by the event loop.
 */
final class ConnectionPool {
    /**
     * How long a connection that carries one attempt at a time is not reused after a reply. A
     * target may send a second copy of the reply some milliseconds late, and nothing in it says
     * which attempt it answers: within this time it arrives when nothing is in flight, and closes
     * the connection. Copies were seen 1 to 5 ms late; this is twice that.
     */
    static final long REUSE_DELAY_MICROS = 10_000;

    private record PendingEntry(Connector.PendingConnect connect, long deadlineMicros) {}

    private final String target;
    private final Transport transport;
    private final List<PooledConnection> connections = new ArrayList<>();
    private final Map<Long, PendingEntry> pendingConnects = new LinkedHashMap<>();
    private final ArrayDeque<OutboundAttempt> waiting = new ArrayDeque<>();

    /** Null until the target was listed. */
    private Address address;

    private boolean isListed;

    ConnectionPool(String target, Transport transport) {
        this.target = target;
        this.transport = transport;
    }

    // ---- The target ----

    /** Sets the address; connections to an earlier one are kept until they end. */
    void setListed(Address newAddress) {
        address = newAddress;
        isListed = true;
    }

    void setUnlisted() {
        isListed = false;
    }

    /** Whether nothing of the target is left and the pool can be dropped. */
    boolean isDisposable() {
        return !isListed && connections.isEmpty() && pendingConnects.isEmpty();
    }

    // ---- Established connections ----

    /** Whether a connection carries one attempt at a time. */
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
     * Finds the connection to send on next; null where none has room. That is the one with the
     * fewest in flight; of exclusive ones the least recently used, so that a target that sends more
     * replies than it owes is noticed there before the next attempt could take one for its own.
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

    /** From when on a connection may be used; 0 where there is no delay. */
    private long reusableAtMicros(PooledConnection connection) {
        return isExclusive() && connection.hasReceivedReply
                ? connection.lastUsedMicros + REUSE_DELAY_MICROS
                : 0;
    }

    /** Idle connections that only wait for their reuse delay. */
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
     * When the first idle connection that an attempt waits for may be reused; Long.MAX_VALUE for
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

    /**
     * Closes the connections that were idle for longer than the transport's bound, if it has one.
     */
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

    /** Whether one more waiting attempt calls for a new connection, and the bound allows one. */
    boolean needsConnect(long nowMicros) {
        return countInReuseDelay(nowMicros) <= waiting.size()
                && connections.size() + pendingConnects.size()
                        < transport.maxConnectionsPerTarget();
    }

    void connect(Connector connector, long connectNumber, long nowMicros) {
        pendingConnects.put(
                connectNumber,
                new PendingEntry(
                        connector.connect(target, address, connectNumber),
                        nowMicros + transport.connectTimeoutMicros()));
    }

    boolean hasAddress() {
        return address != null;
    }

    /** Whether a waiting attempt can hope for a connection. */
    boolean canWait() {
        return hasPendingConnect() || (isExclusive() && hasOpenConnection());
    }

    boolean hasPendingConnect() {
        return !pendingConnects.isEmpty();
    }

    /** Removes a pending connect that ended; false where it was given up before. */
    boolean removePendingConnect(long connectNumber) {
        return pendingConnects.remove(connectNumber) != null;
    }

    /** Cancels the pending connects that are past their deadline; returns how many. */
    int cancelExpiredConnects(long nowMicros) {
        int cancelledCount = 0;
        Iterator<PendingEntry> entries = pendingConnects.values().iterator();
        while (entries.hasNext()) {
            PendingEntry entry = entries.next();
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

    /** The attempt that waits for longest; null for none. */
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

    /** Removes and returns all that wait. */
    List<OutboundAttempt> takeWaiting() {
        List<OutboundAttempt> removed = new ArrayList<>(waiting);
        waiting.clear();
        return removed;
    }

    void removeEndedWaiting() {
        waiting.removeIf(attempt -> attempt.isEnded);
    }
}
