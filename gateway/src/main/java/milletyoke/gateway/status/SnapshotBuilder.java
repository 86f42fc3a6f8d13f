package milletyoke.gateway.status;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import milletyoke.gateway.status.StatusSnapshot.OperationalEvent;
import milletyoke.gateway.status.StatusSnapshot.Volume;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.SchedulerView;
import org.HdrHistogram.Histogram;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Makes pictures, on the loop. All targets are looked at each time; of the volumes at most {@value
 * #VOLUMES_A_PICTURE} that changed, so that a picture costs the same however many there are. What
 * differs from the last picture becomes an event.
 */
public final class SnapshotBuilder {
    static final int VOLUMES_A_PICTURE = 256;
    private static final int EVENTS = 2_000;

    private final String name;
    private final RequestScheduler decide;
    private final ServiceStatistics accounts;
    private PMap<String, Volume> volumes = HashTreePMap.empty();
    private PVector<OperationalEvent> events = TreePVector.empty();
    private Map<String, String> states = new HashMap<>();
    private Lifecycle.Transition lastTransition;

    public SnapshotBuilder(String name, RequestScheduler decide, ServiceStatistics accounts) {
        this.name = name;
        this.decide = decide;
        this.accounts = accounts;
    }

    /** What the loop knows beside the decisions. */
    public record Loop(
            Lifecycle lifecycle,
            int places,
            int held,
            int out,
            double used,
            long version,
            Histogram turns,
            double costs,
            List<StatusSnapshot.DecisionRecord> decided,
            Function<String, String> listedAs,
            Function<String, Boolean> drainedHere) {}

    /** Notes something that no picture shows by itself. @param volume whose it is alone, or null */
    public void happened(long now, String kind, String what, String volume) {
        events = events.plus(new OperationalEvent(now, kind, what, volume));
        if (events.size() > EVENTS) {
            events = events.minus(0);
        }
    }

    public StatusSnapshot paint(long now, Loop loop) {
        accounts.turn(now);
        List<StatusSnapshot.Target> targets = new ArrayList<>();
        for (SchedulerView.TargetView look : SchedulerView.targets(decide)) {
            String listed = loop.listedAs().apply(look.id());
            if (listed != null || look.inFlight() > 0) {
                targets.add(
                        new StatusSnapshot.Target(
                                look,
                                loop.drainedHere().apply(look.id()),
                                listed == null ? "gone" : listed,
                                accounts.target(look.id())));
            } else {
                accounts.forgetTarget(look.id());
            }
        }
        tellChanges(now, targets, loop.lifecycle());
        accounts.takeForgotten().forEach(v -> volumes = volumes.minus(v));
        for (String v : accounts.takeDirty(VOLUMES_A_PICTURE)) {
            ServiceStatistics.OfVolume of = accounts.volume(v);
            if (of != null) {
                volumes =
                        volumes.plus(
                                v,
                                new Volume(
                                        v,
                                        of.plan,
                                        of.tally(),
                                        SchedulerView.volume(decide, v),
                                        of.lastAsked,
                                        of.held));
            }
        }
        return new StatusSnapshot(
                now,
                name,
                loop.lifecycle().state(),
                loop.lifecycle().transitions(),
                loop.places(),
                loop.held(),
                loop.out(),
                loop.used(),
                loop.version(),
                SchedulerView.lateShare(decide),
                SchedulerView.retrySuccessShare(decide),
                loop.turns().getValueAtPercentile(50),
                loop.turns().getValueAtPercentile(99),
                List.copyOf(targets),
                List.copyOf(SchedulerView.shards(decide)),
                volumes,
                accounts.dirty(),
                events,
                accounts.categories(),
                accounts.plans(),
                loop.costs(),
                loop.decided());
    }

    private void tellChanges(long now, List<StatusSnapshot.Target> targets, Lifecycle lifecycle) {
        Map<String, String> next = new HashMap<>();
        for (StatusSnapshot.Target t : targets) {
            String state = t.state();
            String before = states.get(t.look().id());
            next.put(t.look().id(), state);
            if (!state.equals(before)) {
                happened(
                        now,
                        "target",
                        t.look().id()
                                + (before == null ? " is known: " : ": " + before + " -> ")
                                + state,
                        null);
            }
        }
        states.keySet().stream()
                .filter(id -> !next.containsKey(id))
                .sorted()
                .forEach(id -> happened(now, "target", id + " is known no more", null));
        states = next;
        List<Lifecycle.Transition> past = lifecycle.transitions();
        int fresh = lastTransition == null ? 0 : past.lastIndexOf(lastTransition) + 1;
        for (Lifecycle.Transition t : past.subList(fresh, past.size())) {
            happened(
                    t.atMicros(),
                    "condition",
                    t.from() + " -> " + t.to() + ": " + t.reason(),
                    null);
            lastTransition = t;
        }
    }
}
