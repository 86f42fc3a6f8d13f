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
 * Builds the status snapshots on the event loop. Every snapshot contains all targets. Of the
 * changed volumes at most {@value #MAX_VOLUMES_PER_SNAPSHOT} are updated, so that the cost of a
 * snapshot does not grow with their number. Changes of target and lifecycle states since the last
 * snapshot are added as events.
 */
public final class SnapshotBuilder {
    static final int MAX_VOLUMES_PER_SNAPSHOT = 256;
    private static final int MAX_EVENTS = 2_000;

    // Kinds of events, written to the console's JSON.
    private static final String TARGET_EVENT = "target";
    private static final String LIFECYCLE_EVENT = "condition";

    private final String name;
    private final RequestScheduler scheduler;
    private final ServiceStatistics statistics;
    private PMap<String, Volume> volumes = HashTreePMap.empty();
    private PVector<OperationalEvent> events = TreePVector.empty();
    private Map<String, String> lastTargetStates = new HashMap<>();
    private Lifecycle.Transition lastTransition;

    /**
     * Creates the snapshot builder of one initiator.
     *
     * @param name the initiator's name
     */
    public SnapshotBuilder(String name, RequestScheduler scheduler, ServiceStatistics statistics) {
        this.name = name;
        this.scheduler = scheduler;
        this.statistics = statistics;
    }

    /**
     * The part of the status that the event loop contributes.
     *
     * @param admittedRequests requests that hold an admission permit
     * @param pendingRequests requests that the loop tracks
     * @param utilization used share of the capacity, from 0 to 1
     * @param loopDurations durations of the loop's recent passes in microseconds
     * @param snapshotCostShare recent share of the loop's time spent on snapshots and statistics
     * @param decisions the scheduler's latest decisions, newest first
     * @param listedState returns a target's state in the endpoint list; null if it is not listed
     * @param isDrainedHere returns whether an operator drained a target on this initiator
     */
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

    /**
     * Adds an event that is not derived from a change between snapshots.
     *
     * @param volume the only volume concerned; null for none
     */
    public void addEvent(long nowMicros, String kind, String description, String volume) {
        events = events.plus(new OperationalEvent(nowMicros, kind, description, volume));
        if (events.size() > MAX_EVENTS) {
            events = events.minus(0);
        }
    }

    /** Builds a snapshot of the current state. */
    public StatusSnapshot build(long nowMicros, LoopStatus loop) {
        statistics.advanceTo(nowMicros);
        List<StatusSnapshot.Target> targets = targets(loop);
        addTargetEvents(nowMicros, targets);
        addLifecycleEvents(loop.lifecycle());
        updateVolumes();
        return new StatusSnapshot(
                nowMicros,
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
                statistics.changedVolumeCount(),
                events,
                statistics.categories(),
                statistics.plans(),
                loop.snapshotCostShare(),
                loop.decisions());
    }

    /**
     * Returns the targets that are listed or have attempts in flight; drops the tallies of others.
     */
    private List<StatusSnapshot.Target> targets(LoopStatus loop) {
        List<StatusSnapshot.Target> targets = new ArrayList<>();
        for (SchedulerView.TargetView view : SchedulerView.targets(scheduler)) {
            String listedState = loop.listedState().apply(view.id());
            if (listedState == null && view.inFlight() == 0) {
                statistics.removeTarget(view.id());
                continue;
            }
            targets.add(
                    new StatusSnapshot.Target(
                            view,
                            loop.isDrainedHere().apply(view.id()),
                            listedState == null ? "gone" : listedState,
                            statistics.target(view.id())));
        }
        return targets;
    }

    private void updateVolumes() {
        for (String evicted : statistics.pollEvictedVolumes()) {
            volumes = volumes.minus(evicted);
        }
        for (String changed : statistics.pollChangedVolumes(MAX_VOLUMES_PER_SNAPSHOT)) {
            ServiceStatistics.VolumeStatistics current = statistics.volume(changed);
            if (current != null) {
                Volume volume =
                        new Volume(
                                changed,
                                current.plan,
                                current.tally(),
                                SchedulerView.volume(scheduler, changed),
                                current.lastRequestMicros,
                                current.pendingRequests);
                volumes = volumes.plus(changed, volume);
            }
        }
    }

    private void addTargetEvents(long nowMicros, List<StatusSnapshot.Target> targets) {
        Map<String, String> targetStates = new HashMap<>();
        for (StatusSnapshot.Target target : targets) {
            String id = target.view().id();
            String state = target.state();
            String lastState = lastTargetStates.get(id);
            targetStates.put(id, state);
            if (!state.equals(lastState)) {
                String change = lastState == null ? " added: " : ": " + lastState + " -> ";
                addEvent(nowMicros, TARGET_EVENT, id + change + state, null);
            }
        }
        lastTargetStates.keySet().stream()
                .filter(id -> !targetStates.containsKey(id))
                .sorted()
                .forEach(id -> addEvent(nowMicros, TARGET_EVENT, id + " removed", null));
        lastTargetStates = targetStates;
    }

    private void addLifecycleEvents(Lifecycle lifecycle) {
        List<Lifecycle.Transition> transitions = lifecycle.transitions();
        int reported = lastTransition == null ? 0 : transitions.lastIndexOf(lastTransition) + 1;
        for (Lifecycle.Transition transition : transitions.subList(reported, transitions.size())) {
            String change =
                    transition.from() + " -> " + transition.to() + ": " + transition.reason();
            addEvent(transition.atMicros(), LIFECYCLE_EVENT, change, null);
            lastTransition = transition;
        }
    }
}
