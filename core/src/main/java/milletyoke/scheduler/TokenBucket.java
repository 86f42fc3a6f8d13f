package milletyoke.scheduler;

import milletyoke.scheduler.api.Event;

/** A token bucket: units that fill up at a rate, as they stood at a time. */
final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Longer times count as this one, which keeps sums of times in range. */
    private static final double LONGEST_FILL_MICROS = 1e15;

    double units;
    long updatedAt;

    /** The plan that fills it, and among how many initiators; null until it is first used. */
    String plan;

    double initiatorCount;

    /** A bucket that starts empty. */
    TokenBucket(String plan, long at) {
        this.plan = plan;
        this.updatedAt = at;
        initiatorCount = 1;
    }

    /** One initiator's part of the bucket that a volume not seen before has under a plan. */
    TokenBucket(TokenBucket unseen, String plan, double hosts) {
        this.plan = plan;
        this.initiatorCount = hosts;
        units = unseen.units / hosts;
        updatedAt = unseen.updatedAt;
    }

    /** A bucket that was never used, filled by the same plan. */
    TokenBucket(TokenBucket like) {
        this(like.plan, 0);
    }

    void set(double level, long time) {
        units = level;
        updatedAt = time;
    }

    void usePlanOf(Event.RequestReceived access) {
        plan = access.plan();
        initiatorCount = Math.max(1, access.initiatorCount());
    }

    boolean isPlanOf(Event.RequestReceived access) {
        return access.plan().equals(plan) && initiatorCount == Math.max(1, access.initiatorCount());
    }

    /**
     * What a bucket contains at {@code now}, microseconds. It is filled by time alone, from the
     * start of this scheduler at the earliest; reading it changes nothing.
     *
     * @param bucket null for one that was never used
     * @param rate units a second
     * @param depth most units it can contain
     */
    static double unitsAt(long now, TokenBucket bucket, long startedAt, double rate, double depth) {
        double units = bucket == null ? 0 : bucket.units;
        long filledSince = Math.max(bucket == null ? 0 : bucket.updatedAt, startedAt);
        return Math.min(depth, units + rate * (now - filledSince) / MICROS_PER_SECOND);
    }

    /** When units that are missing now will be there at the earliest, microseconds. */
    static long filledAt(double missing, double rate, long now) {
        if (rate <= 0) {
            return IndexedTimerQueue.NEVER;
        }
        return now + (long) Math.min(missing / rate * MICROS_PER_SECOND, LONGEST_FILL_MICROS) - 1;
    }
}
