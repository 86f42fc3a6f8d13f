package milletyoke.scheduler.api;

import java.util.List;

/**
 * Schedules the requests of one initiator: {@code milletyoke.scheduler.RequestScheduler} or, in
 * simulations, an implementation to compare it with. Not thread-safe.
 */
@FunctionalInterface
public interface Scheduler {
    /**
     * Processes the events since the last call and returns the actions to carry out, in order.
     *
     * @param now time in microseconds, never less than in the previous call
     * @param events since the last call, in order of occurrence; the very first is {@link
     *     Event.Started}
     */
    List<Action> decide(long now, List<Event> events);
}
