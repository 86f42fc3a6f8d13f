package milletyoke.scheduler.api;

import java.util.List;

/**
 * Whatever decides for an initiator: {@code milletyoke.scheduler.RequestScheduler}, or in the lab
 * something to compare it with.
 */
@FunctionalInterface
public interface Scheduler {
    /**
     * @param now microseconds, never going back
     */
    List<Action> decide(long now, List<Event> events);
}
