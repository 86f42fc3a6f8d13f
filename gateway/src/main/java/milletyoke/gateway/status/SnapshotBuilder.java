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
    static final int MAX_VOLUMES_PER_SNAPSHOT = 256;
    private static final int MAX_EVENTS = 2_000;

    private final String name;
    private final RequestScheduler scheduler;
    private final ServiceStatistics statistics;
    private PMap<String, Volume> volumes = HashTreePMap.empty();
    private PVector<OperationalEvent> events = TreePVector.empty();
    private Map<String, String> lastTargetStates = new HashMap<>();
    private Lifecycle.Transition lastTransition;

    public SnapshotBuilder(String name, RequestScheduler decide, ServiceStatistics accounts) {
        this.name = name;
        this.scheduler = decide;
        this.statistics = accounts;
    }

    /** What the loop knows beside the decisions. */
    public record LoopStatus(
            Lifecycle lifecycle,
            int admittedRequests,
            int pendingRequests,
            int attemptsInFlight,
            double utilization,
            long endpointListRevision,
            Histogram loopDurations,
            double snapshotCostShare,
            List<StatusSnapshot.DecisionRecord> decisions,
            Function<String, String> listedState,
            Function<String, Boolean> isDrainedHere) {}

    /** Notes something that no picture shows by itself. @param volume whose it is alone, or null */
    public void addEvent(long now, String kind, String what, String volume) {
        events = events.plus(new OperationalEvent(now, kind, what, volume));
        if (events.size() > MAX_EVENTS) {
            events = events.minus(0);
        }
    }

    public StatusSnapshot build(long now, LoopStatus loop) {
        statistics.advanceTo(now);
        List<StatusSnapshot.Target> targets = new ArrayList<>();
        for (SchedulerView.TargetView look : SchedulerView.targets(scheduler)) {
            String listed = loop.listedState().apply(look.id());
            if (listed != null || look.inFlight() > 0) {
                targets.add(
                        new StatusSnapshot.Target(
                                look,
                                loop.isDrainedHere().apply(look.id()),
                                listed == null ? "gone" : listed,
                                statistics.target(look.id())));
            } else {
                statistics.removeTarget(look.id());
            }
        }
        addChangeEvents(now, targets, loop.lifecycle());
        statistics.pollEvictedVolumes().forEach(v -> volumes = volumes.minus(v));
        for (String v : statistics.pollChangedVolumes(MAX_VOLUMES_PER_SNAPSHOT)) {
            ServiceStatistics.VolumeStatistics of = statistics.volume(v);
            if (of != null) {
                volumes =
                        volumes.plus(
                                v,
                                new Volume(
                                        v,
                                        of.plan,
                                        of.tally(),
                                        SchedulerView.volume(scheduler, v),
                                        of.lastAsked,
                                        of.held));
            }
        }
        return new StatusSnapshot(
                now,
                name,
                loop.lifecycle().state(),
                loop.lifecycle().transitions(),
                loop.admittedRequests(),
                loop.pendingRequests(),
                loop.attemptsInFlight(),
                loop.utilization(),
                loop.endpointListRevision(),
                SchedulerView.lateShare(scheduler),
                SchedulerView.retrySuccessShare(scheduler),
                loop.loopDurations().getValueAtPercentile(50),
                loop.loopDurations().getValueAtPercentile(99),
                List.copyOf(targets),
                List.copyOf(SchedulerView.shards(scheduler)),
                volumes,
                statistics.dirty(),
                events,
                statistics.categories(),
                statistics.plans(),
                loop.snapshotCostShare(),
                loop.decisions());
    }

    private void addChangeEvents(
            long now, List<StatusSnapshot.Target> targets, Lifecycle lifecycle) {
        Map<String, String> next = new HashMap<>();
        for (StatusSnapshot.Target t : targets) {
            String state = t.state();
            String before = lastTargetStates.get(t.view().id());
            next.put(t.view().id(), state);
            if (!state.equals(before)) {
                addEvent(
                        now,
                        "target",
                        t.view().id()
                                + (before == null ? " is known: " : ": " + before + " -> ")
                                + state,
                        null);
            }
        }
        lastTargetStates.keySet().stream()
                .filter(id -> !next.containsKey(id))
                .sorted()
                .forEach(id -> addEvent(now, "target", id + " is known no more", null));
        lastTargetStates = next;
        List<Lifecycle.Transition> past = lifecycle.transitions();
        int fresh = lastTransition == null ? 0 : past.lastIndexOf(lastTransition) + 1;
        for (Lifecycle.Transition t : past.subList(fresh, past.size())) {
            addEvent(
                    t.atMicros(),
                    "condition",
                    t.from() + " -> " + t.to() + ": " + t.reason(),
                    null);
            lastTransition = t;
        }
    }
}
