package milletyoke.standins;

import java.util.List;

/**
 * What clients ask for. Times are microseconds.
 *
 * @param rate accesses a second in total
 * @param retries further tries of one client for one access
 * @param retryWait before a further try, where the answer advised nothing
 * @param impatient this part of accesses comes with little time
 * @param leastTime of those, and {@code mostTime}
 * @param vanish this part of accesses is left by its client after a part of its time
 * @param closed 0, or this many programs that each ask again once they have their answer, in place
 *     of the rate
 * @param think what a program does between an answer and its next access
 * @param trace captured accesses, in place of the rate; empty for none
 * @param answerSlack beyond the time it tells, a client waits this long
 */
public record LoadProfile(
        double rate,
        List<RequestClass> kinds,
        List<Volume> volumes,
        int retries,
        long retryWait,
        double impatient,
        long leastTime,
        long mostTime,
        double vanish,
        long answerSlack,
        int closed,
        long think,
        List<TracedRequest> trace) {

    /**
     * One captured access.
     *
     * @param at since the start (microseconds)
     * @param shard -1 for a new object
     */
    public record TracedRequest(
            long at,
            RequestClass kind,
            Volume volume,
            int door,
            int shard,
            String extent,
            double units,
            long timeLeft) {}

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
            int leastUnits,
            int mostUnits,
            boolean write,
            boolean ordered,
            Idempotency repeats,
            boolean stampedForAll,
            long agreed,
            long abandon,
            double importance,
            boolean anywhere) {}

    /**
     * One volume.
     *
     * @param part of the demand
     * @param shards that hold its data
     * @param initiators through which its accesses come, the leading one first; numbers from 0
     */
    public record Volume(String name, String plan, double part, int[] shards, int[] initiators) {}
}
