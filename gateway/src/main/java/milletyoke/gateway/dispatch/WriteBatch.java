package milletyoke.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Frame;

/**
 * Collects the frames of one turn of the event loop, so that each connection gets them in one
 * write. Owned by the event loop.
 */
public final class WriteBatch {
    private final Set<Connection> connections = new LinkedHashSet<>();

    /**
     * Adds a frame that {@link #flush} will send.
     *
     * @return false if the connection does not accept the frame, see {@link Connection#enqueue}
     */
    public boolean enqueue(Connection connection, Frame frame) {
        boolean isEnqueued = connection.enqueue(frame);
        if (isEnqueued) {
            connections.add(connection);
        }
        return isEnqueued;
    }

    /** Sends all frames; connections are flushed in the order of their first frame. */
    public void flush() {
        if (!connections.isEmpty()) {
            connections.forEach(Connection::flush);
            connections.clear();
        }
    }
}
