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
 * The status of one initiator at a point in time. Immutable, so that any number of threads may read
 * it while the event loop continues; the volumes are a persistent map that shares its unchanged
 * entries with earlier snapshots.
 *
 * @param atMicros time of the snapshot on the initiator's monotonic clock
 * @param admittedRequests requests that hold an admission permit
 * @param pendingRequests requests that the event loop tracks
 * @param utilization used share of the capacity, from 0 to 1
 * @param lateShare smoothed share of responses that reported a long queue delay
 * @param retrySuccessShare smoothed share of retries that succeeded
 * @param unreportedVolumes number of volumes that changed but are not up to date in this snapshot
 * @param snapshotCostShare recent share of the event loop's time spent on snapshots and statistics
 * @param decisions the scheduler's latest decisions, newest first
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
     * The status of one target.
     *
     * @param isDrainedHere whether an operator drained the target on this initiator only
     * @param listedState the target's state in the endpoint list
     */
    public record Target(
            SchedulerView.TargetView view,
            boolean isDrainedHere,
            String listedState,
            RequestTally tally) {
        /**
         * Returns the most severe of the target's states, under the names used in the console's
         * JSON: "silent" is unresponsive, "cold" is warming up, "resting" is backing off.
         */
        public String state() {
            if (isDrainedHere) {
                return "drained here";
            }
            if (!view.usable()) {
                return listedState;
            }
            if (view.nextTrialAtMicros() > 0) {
                return "silent";
            }
            if (view.warmingUp()) {
                return "cold";
            }
            return view.backingOff() ? "resting" : "on";
        }
    }

    /**
     * The status of one volume: its requests through this initiator since the start, and its queue
     * and token buckets in the scheduler.
     *
     * @param lastRequestMicros when its last request was admitted, on the monotonic clock
     * @param pendingRequests admitted requests that have not ended
     */
    public record Volume(
            String name,
            String plan,
            RequestTally tally,
            SchedulerView.VolumeView view,
            long lastRequestMicros,
            int pendingRequests) {}

    /**
     * Counts of requests or attempts since the start.
     *
     * @param onTime requests answered within the latency objective of their class, or attempts
     *     answered
     */
    public record RequestTally(
            long requests, long answered, long onTime, long rejected, long failed) {
        /** The tally without any request. */
        public static final RequestTally NONE = new RequestTally(0, 0, 0, 0, 0);

        /** Returns the share of requests that were answered on time; 1 if there were none. */
        public double onTimeShare() {
            return requests == 0 ? 1 : onTime / (double) requests;
        }
    }

    /**
     * An event for operators.
     *
     * @param volume the only volume concerned; null for an event of the initiator or a target
     */
    public record OperationalEvent(long atMicros, String kind, String description, String volume) {}

    /**
     * One decision of the scheduler.
     *
     * @param volume the volume of the request; null for a decision without a request
     */
    public record DecisionRecord(long atMicros, Action action, String volume) {}

    /** Counts and latency percentiles of one series in one second. */
    public record SecondSummary(
            int requests,
            int answered,
            int onTime,
            int rejected,
            int failed,
            int p50Micros,
            int p99Micros) {}
}
