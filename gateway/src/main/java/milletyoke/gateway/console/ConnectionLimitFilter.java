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
 * Bounds the console's connections, and the time that a request may take to arrive, against peers
 * that open many or send a byte now and then (slow loris). It may close the connection of a viewer
 * on a very slow network.
 */
final class ConnectionLimitFilter extends BaseFilter {
    /** While a request is being processed no timeout applies. */
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

    /** A request has arrived completely. */
    void onRequest(Connection<?> connection) {
        waitingSinceMicros.replace(connection, PROCESSING);
    }

    /** The response was sent; the next request is waited for. */
    void onResponse(Connection<?> connection) {
        waitingSinceMicros.replace(connection, SocketNetwork.monotonicMicros());
    }

    /** Closes the connections whose request takes too long to arrive. */
    void closeTimedOut(long nowMicros) {
        waitingSinceMicros.forEach(
                (connection, since) -> {
                    if (since != PROCESSING && nowMicros - since > requestTimeoutMicros) {
                        connection.closeSilently();
                    }
                });
    }
}
