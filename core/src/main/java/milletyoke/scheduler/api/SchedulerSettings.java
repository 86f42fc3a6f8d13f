package milletyoke.scheduler.api;

import java.util.List;

/**
 * The settings of an initiator. A limit of 0 means that there is none and its rule allows
 * everything; 0 in {@code retryWindowMicros} or {@code overloadWindowMicros} turns the whole rule
 * off.
 *
 * @param initiatorCount number of initiators in the fleet
 * @param mustWatchEndpoints whether to watch service discovery for changes
 * @param longestDeadlineMicros the longest time that a client waits, over all request classes; 0 if
 *     it is unknown
 */
public record SchedulerSettings(
        int initiatorCount,
        List<RequestClass> requestClasses,
        List<ServicePlan> plans,
        Capabilities capabilities,
        RuleLimits limits,
        boolean mustWatchEndpoints,
        long longestDeadlineMicros) {

    /** Creates settings of which the longest deadline is unknown. */
    public SchedulerSettings(
            int initiatorCount,
            List<RequestClass> requestClasses,
            List<ServicePlan> plans,
            Capabilities capabilities,
            RuleLimits limits,
            boolean mustWatchEndpoints) {
        this(initiatorCount, requestClasses, plans, capabilities, limits, mustWatchEndpoints, 0);
    }

    /**
     * Whether a request may be executed more than once; keywords are those of the configuration.
     */
    public enum Idempotency implements Keyword {
        /** Executing the request again has no further effect. */
        IDEMPOTENT("harmless"),
        /**
         * A target recognizes duplicates by an idempotency key, within the deduplication window.
         */
        IDEMPOTENCY_KEY("stamped"),
        /** Must be executed at most once. */
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

    /** The targets among which a duplicate is recognized by its idempotency key. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests that are treated alike.
     *
     * @param deduplicationScope targets among which an idempotency key is recognized
     * @param deduplicationWindowMicros how long an idempotency key is recognized
     * @param keyOrdered whether requests for the same extent run one after another
     * @param latencyObjectiveMicros time from arrival within which a response should be sent
     * @param priorityWeight within a volume, requests of greater weight go first
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
     * @param reservationRate units per second that go before other requests
     * @param weight of a volume in proportional sharing
     * @param limitRate most units per second, 0 for no limit
     * @param limitBurst capacity in units of the token bucket of the limit
     * @param limitSlack units that an auditor allows beyond the limit
     */
    public record ServicePlan(
            String name,
            double reservationRate,
            double weight,
            double limitRate,
            double limitBurst,
            double limitSlack) {}

    /**
     * The capabilities of this initiator.
     *
     * @param maxAttempts most attempts of one request, including the first
     * @param maxRetryAfterMicros longest delay that may be recommended before a client's retry
     */
    public record Capabilities(
            int maxAttempts,
            boolean canProbe,
            boolean canCancel,
            boolean canSuggestRetryAfter,
            long maxRetryAfterMicros) {}

    /**
     * The limits of the rules that every attempt must satisfy.
     *
     * @param keyQuietMicros quiet period of a key after an attempt that may still be executing
     * @param warmUpMicros duration of the slow start of a target
     * @param initialFraction fraction of its capacity that a target has at its start
     * @param warmUpBudgetUnits units from all initiators that a target can take in one overload
     *     window at its start
     * @param overloadWindowMicros time over which the load of a target is summed
     * @param overloadFactor multiple of its capacity at which a target fails
     * @param freeRetries retries per retry window beyond the share
     * @param retryShare retries per request admitted in the same retry window
     * @param retryWindowMicros time over which retries are counted
     * @param watchDeadlineMicros time within which service discovery must be sent another watch
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
