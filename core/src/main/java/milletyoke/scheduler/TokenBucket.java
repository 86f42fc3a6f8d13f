package milletyoke.scheduler;

import milletyoke.scheduler.api.Event;

/** Units that fill up at a rate, as they stood at a time. */
final class TokenBucket {
    double units;
    long updatedAt;

    /** Whose plan fills it, and among how many hosts; null until it is first used. */
    String plan;

    double initiatorCount;

    /** One that starts empty. */
    TokenBucket(String plan, long at) {
        this.plan = plan;
        this.updatedAt = at;
        initiatorCount = 1;
    }

    /** One host's part of what a volume not seen before has under a plan. */
    TokenBucket(TokenBucket unseen, String plan, double hosts) {
        this.plan = plan;
        this.initiatorCount = hosts;
        units = unseen.units / hosts;
        updatedAt = unseen.updatedAt;
    }

    /** One that was never used, filled by the same plan. */
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
}
