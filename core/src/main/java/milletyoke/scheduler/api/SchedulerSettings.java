package milletyoke.scheduler.api;

import java.util.List;

/**
 * What an initiator is provisioned with. A figure of 0 says that there is none, so a rule that
 * rests on it asks nothing; {@code retryWindowMicros} and {@code overloadWindowMicros} speak for
 * their whole rule.
 */
public record SchedulerSettings(
        int initiatorCount,
        List<RequestClass> requestClasses,
        List<ServicePlan> plans,
        Capabilities capabilities,
        RuleLimits limits,
        boolean mustWatchEndpoints) {

    /** Whether a request may run more than once. */
    public enum Idempotency implements Keyword {
        /** Running it again is harmless. */
        IDEMPOTENT("harmless"),
        /** A target recognises a repeat by its idempotency key, within the deduplication window. */
        IDEMPOTENCY_KEY("stamped"),
        /** Must run once at most. */
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

    /** Times are microseconds. */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowMicros,
            boolean keyOrdered,
            long latencyObjectiveMicros,
            double priorityWeight) {}

    /** Figures in units a second, over all initiators and targets. */
    public record ServicePlan(
            String name,
            double reservationRate,
            double weight,
            double limitRate,
            double limitBurst,
            double limitSlack) {}

    public record Capabilities(
            int maxAttempts,
            boolean canProbe,
            boolean canCancel,
            boolean canSuggestRetryAfter,
            long maxRetryAfterMicros) {}

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
