package milletyoke.gateway.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import milletyoke.wire.Connection;

/** A connection to a target with its attempts and probes in flight. Owned by the event loop. */
final class PooledConnection {
    final Connection connection;

    /** Attempts and probes that were sent and have no outcome, by frame number. */
    final Map<Long, OutboundAttempt> inFlight = new LinkedHashMap<>();

    /** When an attempt or probe was last sent or replied to. */
    long lastUsedMicros;

    boolean hasReceivedReply;

    PooledConnection(Connection connection, long nowMicros) {
        this.connection = connection;
        lastUsedMicros = nowMicros;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    boolean isIdle() {
        return inFlight.isEmpty();
    }
}
