package milletyoke.scheduler.api;

import java.util.List;

/**
 * The settings of an initiator. A figure of 0 means that there is none, so that its rule allows
 * everything; {@code retryWindowMicros} and {@code overloadWindowMicros} stand for their whole
 * rule.
 *
 * @param initiatorCount of the fleet
 * @param mustWatchEndpoints whether to watch service discovery for changes
 */
public record SchedulerSettings(
        int initiatorCount,
        List<RequestClass> requestClasses,
        List<ServicePlan> plans,
        Capabilities capabilities,
        RuleLimits limits,
        boolean mustWatchEndpoints) {

    /** Whether a request may be executed more than once. */
    public enum Idempotency implements Keyword {
        /** Executing it again has no further effect. The keyword is that of the configuration. */
        IDEMPOTENT("harmless"),
        /** A target recognises a repeat by its idempotency key, within the deduplication window. */
        IDEMPOTENCY_KEY("stamped"),
        /** Must be executed once at most. */
        NON_IDEMPOTENT("one-shot");

        private final String keyword;

        Idempotency(String keyword) {
            this.keyword = keyword;
        }

        @Override
        public String keyword() {
            return keyword;
        }
    }

    /** Among which targets a repeat is recognised by its idempotency key. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests that are treated alike.
     *
     * @param deduplicationScope among which targets an idempotency key is known
     * @param deduplicationWindowMicros for how long an idempotency key is known
     * @param keyOrdered whether requests of one extent run one after another
     * @param latencyObjectiveMicros by when an answer is to be sent, from arrival
     * @param priorityWeight inside a volume, requests of greater weight go first
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowMicros,
            boolean keyOrdered,
            long latencyObjectiveMicros,
            double priorityWeight) {}

    /**
     * A service plan of volumes, over all initiators and targets.
     *
     * @param reservationRate units a second that go before other requests
     * @param weight of the volume in proportional share
     * @param limitRate units a second at most, 0 for no limit
     * @param limitBurst units that the limit's token bucket contains at most
     * @param limitSlack units that an auditor allows beyond it
     */
    public record ServicePlan(
            String name,
            double reservationRate,
            double weight,
            double limitRate,
            double limitBurst,
            double limitSlack) {}

    /**
     * What this initiator is able to do.
     *
     * @param maxAttempts of one request, the first included
     * @param maxRetryAfterMicros the longest advice when to repeat a request
     */
    public record Capabilities(
            int maxAttempts,
            boolean canProbe,
            boolean canCancel,
            boolean canSuggestRetryAfter,
            long maxRetryAfterMicros) {}

    /**
     * The figures of the rules that every attempt must keep.
     *
     * @param keyQuietMicros a key is quiet after an attempt that may still be executing
     * @param warmUpMicros slow start of a target after its start
     * @param initialFraction of its capacity that a target has at its start
     * @param warmUpBudgetUnits that a target bears in one overload window at its start, from all
     *     initiators
     * @param overloadWindowMicros over which a target's load is summed
     * @param overloadFactor of its capacity at which a target fails
     * @param freeRetries in one retry window, beyond the share
     * @param retryShare retries for each admitted request in one retry window
     * @param retryWindowMicros over which retries are counted
     * @param watchDeadlineMicros by when service discovery must have been asked again
     */
    public record RuleLimits(
            long keyQuietMicros,
            long warmUpMicros,
            double initialFraction,
            double warmUpBudgetUnits,
            long overloadWindowMicros,
            double overloadFactor,
            double freeRetries,
            double retryShare,
            long retryWindowMicros,
            long watchDeadlineMicros) {}
}
