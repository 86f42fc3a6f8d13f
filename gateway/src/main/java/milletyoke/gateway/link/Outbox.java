package milletyoke.gateway.link;

import java.util.LinkedHashSet;
import java.util.Set;
import milletyoke.wire.Line;
import milletyoke.wire.proto.Frame;

/**
 * What the loop sends in one turn: frames for one connection leave in one write. Owned by the loop.
 */
public final class Outbox {
    private final Set<Line> lines = new LinkedHashSet<>();

    /** As {@link Line#post}; it leaves at the turn's end. */
    public boolean post(Line line, Frame frame) {
        boolean taken = line.post(frame);
        if (taken) {
            lines.add(line);
        }
        return taken;
    }

    /** Lets everything go, in the order in which connections were first written to. */
    public void flush() {
        if (!lines.isEmpty()) {
            lines.forEach(Line::flush);
            lines.clear();
        }
    }
}
