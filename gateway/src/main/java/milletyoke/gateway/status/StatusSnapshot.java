package milletyoke.gateway.status;

import java.util.List;
import java.util.Map;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.SchedulerView;
import milletyoke.scheduler.api.Action;
import org.pcollections.PMap;
import org.pcollections.PVector;

/**
 * What one initiator believed and did at a moment: immutable, so that any number of readers may
 * hold it while the loop goes on. Volumes are a persistent map of which only the changed part is
 * made anew. Times are microseconds on the initiator's clock.
 *
 * @param unreportedVolumes volumes that changed and are not in it yet
 * @param decisions the latest decisions, the newest first
 * @param snapshotCostShare part of the loop's time that pictures and accounts took, of late
 */
public record StatusSnapshot(
        long atMicros,
        String name,
        LifecycleState lifecycleState,
        List<Lifecycle.Transition> transitions,
        int admittedRequests,
        int pendingRequests,
        int attemptsInFlight,
        double utilization,
        long endpointListRevision,
        double lateShare,
        double retrySuccessShare,
        long loopP50Micros,
        long loopP99Micros,
        List<Target> targets,
        List<SchedulerView.ShardView> shards,
        PMap<String, Volume> volumes,
        int unreportedVolumes,
        PVector<OperationalEvent> events,
        Map<String, RequestTally> categories,
        Map<String, RequestTally> plans,
        double snapshotCostShare,
        List<DecisionRecord> decisions) {

    /**
     * @param isDrainedHere taken out of service by an operator of this initiator alone
     */
    public record Target(
            SchedulerView.TargetView view,
            boolean isDrainedHere,
            String listedState,
            RequestTally tally) {
        /** One word for people, the gravest first. */
        public String state() {
            return isDrainedHere
                    ? "drained here"
                    : !view.usable()
                            ? listedState
                            : view.nextTrialAtMicros() > 0
                                    ? "silent"
                                    : view.warmingUp()
                                            ? "cold"
                                            : view.backingOff() ? "resting" : "on";
        }
    }

    /**
     * One volume: what was asked and got through this initiator since its start, and what it has
     * left.
     */
    public record Volume(
            String name,
            String plan,
            RequestTally tally,
            SchedulerView.VolumeView view,
            long lastRequestMicros,
            int pendingRequests) {}

    /**
     * Counts since the start.
     *
     * @param onTime answered within the agreed time of their category
     */
    public record RequestTally(
            long requests, long answered, long onTime, long rejected, long failed) {
        public static final RequestTally NONE = new RequestTally(0, 0, 0, 0, 0);

        /** The part of what was asked that was answered in time; 1 where nothing was. */
        public double onTimeShare() {
            return requests == 0 ? 1 : onTime / (double) requests;
        }
    }

    /**
     * Something worth telling.
     *
     * @param volume whose it is alone; null for what concerns the initiator or a target
     */
    public record OperationalEvent(long atMicros, String kind, String description, String volume) {}

    /** One decision as it was made. @param volume whose access it was about, or null */
    public record DecisionRecord(long atMicros, Action action, String volume) {}

    /** Figures of one second of one series; times are of answers, in microseconds. */
    public record SecondSummary(
            int requests,
            int answered,
            int onTime,
            int rejected,
            int failed,
            int p50Micros,
            int p99Micros) {}
}
