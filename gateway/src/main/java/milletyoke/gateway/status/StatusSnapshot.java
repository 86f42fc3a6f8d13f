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
 * The status of one initiator at a moment. Immutable, so that any number of threads may read it
 * while the event loop goes on; volumes are a persistent map of which only the changed part is
 * replaced.
 *
 * @param atMicros on the initiator's monotonic clock
 * @param admittedRequests requests that use a permit
 * @param pendingRequests requests that the event loop tracks
 * @param utilization of the capacity, from 0 to 1
 * @param lateShare share of recent responses later than the latency objective
 * @param retrySuccessShare share of recent retries that succeeded
 * @param unreportedVolumes volumes that changed and are not up to date in this snapshot
 * @param snapshotCostShare share of the event loop's time that snapshots and statistics took lately
 * @param decisions the scheduler's latest, newest first
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
     * One target.
     *
     * @param isDrainedHere whether an operator drained it on this initiator alone
     * @param listedState its state in the endpoint list
     */
    public record Target(
            SchedulerView.TargetView view,
            boolean isDrainedHere,
            String listedState,
            RequestTally tally) {
        /**
         * The most serious of its states, in the console's words, which are values of its JSON:
         * silent is unresponsive, cold is warming up, resting is backing off.
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
     * One volume: its requests through this initiator since the start, and its queue and remaining
     * rates in the scheduler.
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
     * @param onTime answered within the latency objective of their class
     */
    public record RequestTally(
            long requests, long answered, long onTime, long rejected, long failed) {
        /** No requests. */
        public static final RequestTally NONE = new RequestTally(0, 0, 0, 0, 0);

        /** The share of requests that were answered on time; 1 where there were none. */
        public double onTimeShare() {
            return requests == 0 ? 1 : onTime / (double) requests;
        }
    }

    /**
     * An event for operators.
     *
     * @param volume the only one that it concerns; null for the initiator or a target
     */
    public record OperationalEvent(long atMicros, String kind, String description, String volume) {}

    /**
     * One decision of the scheduler.
     *
     * @param volume of the request; null where it concerns none
     */
    public record DecisionRecord(long atMicros, Action action, String volume) {}

    /** One second of one series; the percentiles are of latencies. */
    public record SecondSummary(
            int requests,
            int answered,
            int onTime,
            int rejected,
            int failed,
            int p50Micros,
            int p99Micros) {}
}
