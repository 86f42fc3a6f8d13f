package milletyoke.gateway.console;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Bounds the console's connections in number and each in the time that a request may take to come
 * in. Guards against peers that open many, or send a byte now and then (slow loris). Could harm a
 * viewer on a very slow line.
 */
final class ConnectionLimitFilter extends BaseFilter {
    private final int most;
    private final long patience;
    private final Map<Connection<?>, Long> since = new ConcurrentHashMap<>();

    /**
     * @param patience microseconds
     */
    ConnectionLimitFilter(int most, long patience) {
        this.most = most;
        this.patience = patience;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        Connection<?> connection = ctx.getConnection();
        if (since.size() >= most) {
            connection.closeSilently();
            return ctx.getStopAction();
        }
        since.put(connection, milletyoke.wire.SocketNetwork.monotonicMicros());
        connection.addCloseListener((closed, type) -> since.remove(connection));
        return ctx.getInvokeAction();
    }

    /** A whole request is here: what follows is this end's time, not the peer's. */
    void asked(Connection<?> connection) {
        since.replace(connection, Long.MAX_VALUE);
    }

    /** The answer has left; the next request may take as long again. */
    void answered(Connection<?> connection) {
        since.replace(connection, milletyoke.wire.SocketNetwork.monotonicMicros());
    }

    void look(long now) {
        since.forEach(
                (connection, from) -> {
                    if (from != Long.MAX_VALUE && now - from > patience) {
                        connection.closeSilently();
                    }
                });
    }
}
