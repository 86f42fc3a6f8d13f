package milletyoke.scheduler;

/**
 * Fixed parameters of the scheduler. Production always uses {@link #DEFAULT}; only simulations use
 * others. "Latency objective" below means the shortest one of all request classes.
 *
 * @param baseBatchSize most requests taken by finish tag in one batch
 * @param placementDraws draws by which a shard is chosen by rejection before all shards are weighed
 * @param initialConcurrencyLimit limit of a target that was just listed or restarted, in attempts
 * @param maxConcurrencyLimit upper end of the additive increase, in attempts
 * @param marginSteps how far the extra tags of queued flows may differ, in mean steps
 * @param lateFraction fraction of the latency objective past which a response counts as late, as it
 *     was queued at the target, out of tag order
 * @param smoothing weight of a new sample in moving averages, as in TCP's round-trip estimate
 * @param unresponsiveFactor time without a response after which a target counts as unresponsive, in
 *     latencies
 * @param suspectLateShare share of responses indicating long queues from which probes go first
 * @param joinFractionBelowReservation largest queue at a target that a request below its
 *     reservation may join, as a fraction of the latency objective
 * @param joinFractionOthers the same for all other requests, multiplied by a random threshold
 * @param minRetryProbability least probability of an eligible retry, however few recent retries
 *     succeeded
 * @param maxBackoffObjectives longest interval of half-open trials, longest backoff, and longest
 *     use of a latency estimate without a new response, all in latency objectives
 * @param queuedCheckMicros interval of wake-ups while requests are queued
 * @param inFlightCheckMicros interval of wake-ups while requests are only in flight
 * @param responseLeadMicros how long before its deadline a request gets its final response
 * @param initialWatchDelayMicros delay before the first repetition of an endpoint watch
 * @param usedSlackFraction fraction of a limit's slack that is used; the rest allows for an auditor
 *     that sums in another order
 * @param warmUpQueueFraction largest queue at a target that warms up, as a fraction of what the
 *     overload bound leaves beyond its capacity
 */
public record SchedulerTuning(
        int baseBatchSize,
        int placementDraws,
        double initialConcurrencyLimit,
        double maxConcurrencyLimit,
        double marginSteps,
        double lateFraction,
        double smoothing,
        double unresponsiveFactor,
        double suspectLateShare,
        double joinFractionBelowReservation,
        double joinFractionOthers,
        double minRetryProbability,
        long maxBackoffObjectives,
        long queuedCheckMicros,
        long inFlightCheckMicros,
        long responseLeadMicros,
        long initialWatchDelayMicros,
        double usedSlackFraction,
        double warmUpQueueFraction) {

    private static final int BASE_BATCH_SIZE = 4;
    private static final int PLACEMENT_DRAWS = 64;
    private static final double INITIAL_CONCURRENCY_LIMIT = 4;
    private static final double MAX_CONCURRENCY_LIMIT = 16;
    private static final double MARGIN_STEPS = 1.5;
    private static final double LATE_FRACTION = 1.0 / 6;
    private static final double SMOOTHING = 1.0 / 8;
    private static final double UNRESPONSIVE_FACTOR = 4;
    private static final double SUSPECT_LATE_SHARE = 0.05;
    private static final double JOIN_FRACTION_BELOW_RESERVATION = 0.75;
    private static final double JOIN_FRACTION_OTHERS = 0.25;
    private static final double MIN_RETRY_PROBABILITY = 0.1;
    private static final long MAX_BACKOFF_OBJECTIVES = 4;
    private static final long QUEUED_CHECK_MICROS = 4_000;
    private static final long IN_FLIGHT_CHECK_MICROS = 40_000;
    private static final long RESPONSE_LEAD_MICROS = 5_000;
    private static final long INITIAL_WATCH_DELAY_MICROS = 500_000;
    private static final double USED_SLACK_FRACTION = 0.9;
    private static final double WARM_UP_QUEUE_FRACTION = 1.0 / 8;

    /** The parameters used in production. */
    public static final SchedulerTuning DEFAULT =
            new SchedulerTuning(
                    BASE_BATCH_SIZE,
                    PLACEMENT_DRAWS,
                    INITIAL_CONCURRENCY_LIMIT,
                    MAX_CONCURRENCY_LIMIT,
                    MARGIN_STEPS,
                    LATE_FRACTION,
                    SMOOTHING,
                    UNRESPONSIVE_FACTOR,
                    SUSPECT_LATE_SHARE,
                    JOIN_FRACTION_BELOW_RESERVATION,
                    JOIN_FRACTION_OTHERS,
                    MIN_RETRY_PROBABILITY,
                    MAX_BACKOFF_OBJECTIVES,
                    QUEUED_CHECK_MICROS,
                    IN_FLIGHT_CHECK_MICROS,
                    RESPONSE_LEAD_MICROS,
                    INITIAL_WATCH_DELAY_MICROS,
                    USED_SLACK_FRACTION,
                    WARM_UP_QUEUE_FRACTION);
}
