package milletyoke.standins;

import java.util.List;

/**
 * What clients ask for. Times are microseconds.
 *
 * @param requestsPerSecond accesses a second in total
 * @param retries further tries of one client for one access
 * @param retryDelayMicros before a further try, where the answer advised nothing
 * @param shortDeadlineFraction this part of accesses comes with little time
 * @param minShortDeadlineMicros of those, and {@code maxShortDeadlineMicros}
 * @param cancelFraction this part of accesses is left by its client after a part of its time
 * @param closedLoopClients 0, or this many programs that each ask again once they have their
 *     answer, in place of the rate
 * @param thinkTimeMicros what a program does between an answer and its next access
 * @param trace captured accesses, in place of the rate; empty for none
 * @param responseSlackMicros beyond the time it tells, a client waits this long
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
     * One captured access.
     *
     * @param offsetMicros since the start (microseconds)
     * @param shard -1 for a new object
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

    /** How often one access may run, as the client knows it. */
    public enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENCY_KEY,
        NON_IDEMPOTENT
    }

    /** One category of accesses. */
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
     * @param demandFraction of the demand
     * @param shards that hold its data
     * @param initiators through which its accesses come, the leading one first; numbers from 0
     */
    public record Volume(
            String name, String plan, double demandFraction, int[] shards, int[] initiators) {}
}
