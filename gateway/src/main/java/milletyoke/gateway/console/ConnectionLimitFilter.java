package milletyoke.gateway.console;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import milletyoke.wire.SocketNetwork;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Limits the number of the console's connections, and the time that a request may take to arrive,
 * to protect against peers that open many connections or send their requests very slowly (slow
 * loris). The connection of a viewer on a very slow network may be closed, too.
 */
final class ConnectionLimitFilter extends BaseFilter {
    /** Marks a connection whose request is being processed; no timeout applies to it. */
    private static final long PROCESSING = Long.MAX_VALUE;

    private final int maxConnections;
    private final long requestTimeoutMicros;
    private final Map<Connection<?>, Long> waitingSinceMicros = new ConcurrentHashMap<>();

    ConnectionLimitFilter(int maxConnections, long requestTimeoutMicros) {
        this.maxConnections = maxConnections;
        this.requestTimeoutMicros = requestTimeoutMicros;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        if (waitingSinceMicros.size() >= maxConnections) {
            connection.closeSilently();
            return context.getStopAction();
        }
        waitingSinceMicros.put(connection, SocketNetwork.monotonicMicros());
        CloseListener<Connection<?>, CloseType> onClosed =
                (closed, type) -> waitingSinceMicros.remove(connection);
        connection.addCloseListener(onClosed);
        return context.getInvokeAction();
    }

    /** Suspends the timeout of a connection whose request has arrived completely. */
    void onRequest(Connection<?> connection) {
        waitingSinceMicros.replace(connection, PROCESSING);
    }

    /** Restarts the timeout of a connection whose response was sent. */
    void onResponse(Connection<?> connection) {
        waitingSinceMicros.replace(connection, SocketNetwork.monotonicMicros());
    }

    /** Closes the connections whose request has not arrived within the timeout. */
    void closeTimedOut(long nowMicros) {
        waitingSinceMicros.forEach(
                (connection, since) -> {
                    if (since != PROCESSING && nowMicros - since > requestTimeoutMicros) {
                        connection.closeSilently();
                    }
                });
    }
}
