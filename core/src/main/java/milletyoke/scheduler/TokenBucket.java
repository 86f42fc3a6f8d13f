package milletyoke.scheduler;

import milletyoke.scheduler.api.Event;

/** Units that fill up at a rate, as they stood at a time. */
final class TokenBucket {
    double units;
    long at;

    /** Whose plan fills it, and among how many hosts; null until it is first used. */
    String plan;

    double hosts;

    /** One that starts empty. */
    TokenBucket(String plan, long at) {
        this.plan = plan;
        this.at = at;
        hosts = 1;
    }

    /** One host's part of what a volume not seen before has under a plan. */
    TokenBucket(TokenBucket unseen, String plan, double hosts) {
        this.plan = plan;
        this.hosts = hosts;
        units = unseen.units / hosts;
        at = unseen.at;
    }

    /** One that was never used, filled by the same plan. */
    TokenBucket(TokenBucket like) {
        this(like.plan, 0);
    }

    void set(double level, long time) {
        units = level;
        at = time;
    }

    void follow(Event.RequestReceived access) {
        plan = access.plan();
        hosts = Math.max(1, access.initiatorCount());
    }

    boolean follows(Event.RequestReceived access) {
        return access.plan().equals(plan) && hosts == Math.max(1, access.initiatorCount());
    }
}
