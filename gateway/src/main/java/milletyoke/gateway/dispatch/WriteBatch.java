package milletyoke.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Frame;

/**
 * What the loop sends in one turn: frames for one connection leave in one write. Owned by the loop.
 */
public final class WriteBatch {
    private final Set<Connection> lines = new LinkedHashSet<>();

    /** As {@link Connection#enqueue}; it leaves at the turn's end. */
    public boolean enqueue(Connection line, Frame frame) {
        boolean taken = line.enqueue(frame);
        if (taken) {
            lines.add(line);
        }
        return taken;
    }

    /** Lets everything go, in the order in which connections were first written to. */
    public void flush() {
        if (!lines.isEmpty()) {
            lines.forEach(Connection::flush);
            lines.clear();
        }
    }
}
