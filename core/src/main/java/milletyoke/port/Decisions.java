package milletyoke.port;

import java.util.List;

/**
 * Whatever decides for an initiator: {@code milletyoke.Decide}, or in the lab something to compare
 * it with.
 */
@FunctionalInterface
public interface Decisions {
    /**
     * @param now microseconds, never going back
     */
    List<Action> decide(long now, List<Event> events);
}
