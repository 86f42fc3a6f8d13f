package milletyoke.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Frame;

/**
 * The frames of one turn of the event loop: those for one connection are sent with one write. Owned
 * by the event loop.
 */
public final class WriteBatch {
    private final Set<Connection> connections = new LinkedHashSet<>();

    /**
     * Adds a frame that {@link #flush} will send.
     *
     * @return false where the connection takes no frame, as {@link Connection#enqueue}
     */
    public boolean enqueue(Connection connection, Frame frame) {
        boolean isEnqueued = connection.enqueue(frame);
        if (isEnqueued) {
            connections.add(connection);
        }
        return isEnqueued;
    }

    /** Sends all frames, in the order in which their connections were first written to. */
    public void flush() {
        if (!connections.isEmpty()) {
            connections.forEach(Connection::flush);
            connections.clear();
        }
    }
}
