package milletyoke.scheduler.api;

import java.util.List;

/**
 * Decides for one initiator: {@code milletyoke.scheduler.RequestScheduler}, or in simulations
 * something to compare it with. To be called by one thread at a time.
 */
@FunctionalInterface
public interface Scheduler {
    /**
     * Takes what happened since the last call and returns what is to be done, in this order.
     *
     * @param now microseconds, never less than at the call before
     * @param events since the last call, in their order; the very first is {@link Event.Started}
     */
    List<Action> decide(long now, List<Event> events);
}
