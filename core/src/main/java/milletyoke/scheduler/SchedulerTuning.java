package milletyoke.scheduler;

/**
 * The scheduler's fixed figures. Production always uses {@link #DEFAULT}; only the simulation tries
 * others. The "latency objective" below is the shortest one among all request classes.
 *
 * @param baseBatchSize most requests that one batch takes by least finish tag
 * @param placementDraws attempts at choosing a shard by rejection before all shards are weighed
 * @param initialConcurrencyLimit of a target that was just listed or restarted, in attempts
 * @param maxConcurrencyLimit that additive increase may reach, in attempts
 * @param marginSteps by how many mean steps the extra tags of queued flows may differ
 * @param lateFraction part of the latency objective past which an answer counts as late: at a
 *     target that serves in no tag order
 * @param smoothing weight of a new sample in moving averages, as in TCP's round-trip estimate
 * @param patienceFactor latencies without an answer after which a target counts as unresponsive
 * @param suspectLateShare part of answers that report long queues from which probes go first
 * @param joinFractionBelowReservation part of the latency objective that may be queued at a target
 *     for a request below its reservation to join
 * @param joinFractionOthers the same for all other requests, times a random threshold
 * @param minRetryProbability of an eligible retry, however few retries succeeded of late
 * @param maxBackoffObjectives most latency objectives that a half-open trial interval or a backoff
 *     lasts, and that a latency estimate is used without a new answer
 * @param queuedCheckMicros between wake-ups while requests are queued
 * @param inFlightCheckMicros between wake-ups while requests are only in flight
 * @param answerLeadMicros how long before a request's deadline its final answer leaves
 * @param initialWatchDelayMicros before the first repetition of an endpoint watch
 * @param usedSlackFraction part of a limit's slack that is used; the rest allows for an auditor
 *     that sums in another order
 * @param warmUpQueueFraction part of what the overload bound leaves beyond its capacity that may be
 *     queued at a target that warms up
 */
public record SchedulerTuning(
        int baseBatchSize,
        int placementDraws,
        double initialConcurrencyLimit,
        double maxConcurrencyLimit,
        double marginSteps,
        double lateFraction,
        double smoothing,
        double patienceFactor,
        double suspectLateShare,
        double joinFractionBelowReservation,
        double joinFractionOthers,
        double minRetryProbability,
        long maxBackoffObjectives,
        long queuedCheckMicros,
        long inFlightCheckMicros,
        long answerLeadMicros,
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
    private static final double PATIENCE_FACTOR = 4;
    private static final double SUSPECT_LATE_SHARE = 0.05;
    private static final double JOIN_FRACTION_BELOW_RESERVATION = 0.75;
    private static final double JOIN_FRACTION_OTHERS = 0.25;
    private static final double MIN_RETRY_PROBABILITY = 0.1;
    private static final long MAX_BACKOFF_OBJECTIVES = 4;
    private static final long QUEUED_CHECK_MICROS = 4_000;
    private static final long IN_FLIGHT_CHECK_MICROS = 40_000;
    private static final long ANSWER_LEAD_MICROS = 5_000;
    private static final long INITIAL_WATCH_DELAY_MICROS = 500_000;
    private static final double USED_SLACK_FRACTION = 0.9;
    private static final double WARM_UP_QUEUE_FRACTION = 1.0 / 8;

    /** The figures of production. */
    public static final SchedulerTuning DEFAULT =
            new SchedulerTuning(
                    BASE_BATCH_SIZE,
                    PLACEMENT_DRAWS,
                    INITIAL_CONCURRENCY_LIMIT,
                    MAX_CONCURRENCY_LIMIT,
                    MARGIN_STEPS,
                    LATE_FRACTION,
                    SMOOTHING,
                    PATIENCE_FACTOR,
                    SUSPECT_LATE_SHARE,
                    JOIN_FRACTION_BELOW_RESERVATION,
                    JOIN_FRACTION_OTHERS,
                    MIN_RETRY_PROBABILITY,
                    MAX_BACKOFF_OBJECTIVES,
                    QUEUED_CHECK_MICROS,
                    IN_FLIGHT_CHECK_MICROS,
                    ANSWER_LEAD_MICROS,
                    INITIAL_WATCH_DELAY_MICROS,
                    USED_SLACK_FRACTION,
                    WARM_UP_QUEUE_FRACTION);
}
