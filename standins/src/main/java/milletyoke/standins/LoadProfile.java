package milletyoke.standins;

import java.util.List;

/**
 * What clients send: how many requests, of which classes, to which volumes. Immutable.
 *
 * @param requestsPerSecond in total
 * @param retries most retries of one request
 * @param retryDelayMicros before a retry for which the answer gave no advice
 * @param shortDeadlineFraction the fraction of requests that have a short deadline
 * @param minShortDeadlineMicros the least of the short deadlines, which are drawn evenly
 * @param maxShortDeadlineMicros the greatest of the short deadlines
 * @param cancelFraction the fraction of requests that are cancelled after a part of their time
 * @param responseSlackMicros how long a client waits beyond the deadline that it sends
 * @param closedLoopClients 0, or so many clients that each send the next request after an answer,
 *     in place of the rate
 * @param thinkTimeMicros between an answer to such a client and its next request
 * @param trace captured requests, in place of the rate; empty for none
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
     * @param offsetMicros since the start
     * @param initiator the index of the initiator that it is sent to
     * @param shard -1 for a new object
     * @param timeLeftMicros until its deadline
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

    /** How often one request may be executed, as the client knows it. */
    public enum Idempotency {
        /** Any number of times. */
        IDEMPOTENT,
        /** Executions after the first are dropped by the request's idempotency key. */
        IDEMPOTENCY_KEY,
        /** Once at most. */
        NON_IDEMPOTENT
    }

    /**
     * One class of requests.
     *
     * @param share of all requests
     * @param isDeduplicatedFleetWide whether every target knows the idempotency keys of all
     * @param deadlineMicros how long a client waits
     * @param priorityWeight of a request in the service level
     * @param isNewObject whether the initiator places the request on a shard of its choice
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
     * @param plan the name of its service plan
     * @param demandFraction of all requests
     * @param shards that hold its data
     * @param initiators the indexes of those that its requests go through, the leading one first
     */
    public record Volume(
            String name,
            String plan,
            double demandFraction,
            List<Integer> shards,
            List<Integer> initiators) {}
}
