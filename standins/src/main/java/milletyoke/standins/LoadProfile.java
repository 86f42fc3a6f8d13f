package milletyoke.standins;

import java.util.List;

/**
 * The load that clients generate: rate, request classes and volumes. Immutable.
 *
 * @param requestsPerSecond total rate of an open loop
 * @param retries most retries of one request
 * @param retryDelayMicros delay before a retry if the response advised none
 * @param shortDeadlineFraction fraction of requests that have a short deadline
 * @param minShortDeadlineMicros lower bound of short deadlines, which are uniformly distributed
 * @param maxShortDeadlineMicros upper bound of short deadlines
 * @param cancelFraction fraction of requests that the client cancels before their deadline
 * @param responseSlackMicros how long a client waits after the deadline of a request
 * @param closedLoopClients number of closed-loop clients, which replace the rate; 0 for an open
 *     loop
 * @param thinkTimeMicros from the end of a request to the next request of a closed-loop client
 * @param trace captured requests to replay instead of the rate; empty for none
 */
public record LoadProfile(
        double requestsPerSecond,
        List<RequestClass> requestClasses,
        List<Volume> volumes,
        int retries,
        long retryDelayMicros,
        double shortDeadlineFraction,
        long minShortDeadlineMicros,
        long maxShortDeadlineMicros,
        double cancelFraction,
        long responseSlackMicros,
        int closedLoopClients,
        long thinkTimeMicros,
        List<TracedRequest> trace) {

    /**
     * One captured request.
     *
     * @param offsetMicros arrival time since the start of the replay
     * @param initiator index of the initiator to send to
     * @param shard -1 for a new object
     * @param timeLeftMicros time to the deadline
     */
    public record TracedRequest(
            long offsetMicros,
            RequestClass requestClass,
            Volume volume,
            int initiator,
            int shard,
            String extent,
            double units,
            long timeLeftMicros) {}

    /** How often a request may be executed, according to the client's configuration. */
    public enum Idempotency {
        /** Any number of times. */
        IDEMPOTENT,
        /** Repeated executions are suppressed by the request's idempotency key. */
        IDEMPOTENCY_KEY,
        /** At most once. */
        NON_IDEMPOTENT
    }

    /**
     * One class of requests.
     *
     * @param share fraction of all requests
     * @param isDeduplicatedFleetWide whether all targets share their idempotency keys
     * @param deadlineMicros time from arrival to the deadline
     * @param priorityWeight weight of a request in the overall service level
     * @param isNewObject whether the initiator chooses the shard
     */
    public record RequestClass(
            String name,
            double share,
            int minUnits,
            int maxUnits,
            boolean isWrite,
            boolean isKeyOrdered,
            Idempotency idempotency,
            boolean isDeduplicatedFleetWide,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            boolean isNewObject) {}

    /**
     * One volume.
     *
     * @param plan name of the service plan
     * @param demandFraction fraction of all requests
     * @param shards shards that store the volume's data
     * @param initiators indexes of the initiators that its requests are sent to, the preferred one
     *     first
     */
    public record Volume(
            String name,
            String plan,
            double demandFraction,
            List<Integer> shards,
            List<Integer> initiators) {}
}
