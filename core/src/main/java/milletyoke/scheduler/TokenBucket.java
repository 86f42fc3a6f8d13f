package milletyoke.scheduler;

import milletyoke.scheduler.api.Event;

/** A token bucket that fills at a constant rate. Its contents are as of {@link #updatedAt}. */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Upper limit of a computed time to fill, which keeps sums of times in range. */
    private static final double LONGEST_FILL_MICROS = 1e15;

    double units;

    /** Units of attempts that were decided and are not written yet; they are not taken out yet. */
    double reservedUnits;

    long updatedAt;

    /** Plan by whose rate the bucket fills; null before its first use. */
    String plan;

    /** Number of initiators that share that rate. */
    double initiatorCount;

    /** Creates an empty bucket. */
    TokenBucket(String plan, long createdAt) {
        this.plan = plan;
        this.updatedAt = createdAt;
        initiatorCount = 1;
    }

    /** Creates one initiator's part of the bucket that an unseen volume has under a plan. */
    TokenBucket(TokenBucket unseen, String plan, double initiatorCount) {
        this.plan = plan;
        this.initiatorCount = initiatorCount;
        units = unseen.units / initiatorCount;
        updatedAt = unseen.updatedAt;
    }

    /** Creates an unused bucket with the same plan. */
    TokenBucket(TokenBucket template) {
        this(template.plan, 0);
    }

    void set(double level, long time) {
        units = level;
        updatedAt = time;
    }

    void usePlanOf(Event.RequestReceived received) {
        plan = received.plan();
        initiatorCount = Math.max(1, received.initiatorCount());
    }

    boolean isPlanOf(Event.RequestReceived received) {
        return received.plan().equals(plan)
                && initiatorCount == Math.max(1, received.initiatorCount());
    }

    /**
     * Returns what a bucket contains at {@code now}, microseconds. Time alone fills it, from the
     * start of this scheduler at the earliest; the call changes nothing.
     *
     * @param bucket null for a bucket that was never used
     * @param rate units per second
     * @param depth maximum number of units
     */
    static double unitsAt(long now, TokenBucket bucket, long startedAt, double rate, double depth) {
        double units = bucket == null ? 0 : bucket.units;
        long filledSince = Math.max(bucket == null ? 0 : bucket.updatedAt, startedAt);
        return Math.min(depth, units + rate * (now - filledSince) / MICROS_PER_SECOND);
    }

    /** Returns the earliest time at which the missing units may be available, microseconds. */
    static long filledAt(double missing, double rate, long now) {
        if (rate <= 0) {
            return IndexedTimerQueue.NEVER;
        }
        return now + (long) Math.min(missing / rate * MICROS_PER_SECOND, LONGEST_FILL_MICROS) - 1;
    }
}
