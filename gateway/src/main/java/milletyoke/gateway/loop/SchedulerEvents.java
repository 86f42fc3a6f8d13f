package milletyoke.gateway.loop;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Event;

/** Collects the events of the next turn of the scheduler. Owned by the event loop. */
final class SchedulerEvents {
    private List<Event> events = new ArrayList<>();

    /** Events that need no turn of their own; the scheduler gets them before the others. */
    private List<Event> deferred = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    /** Adds an event that waits for the next turn that another event causes. */
    void addDeferred(Event event) {
        deferred.add(event);
    }

    /** Returns whether there is an event that needs a turn. */
    boolean needTurn() {
        return !events.isEmpty();
    }

    /** Returns the collected events and starts anew. */
    List<Event> drain() {
        List<Event> drained = deferred;
        drained.addAll(events);
        deferred = new ArrayList<>();
        events = new ArrayList<>();
        return drained;
    }
}
