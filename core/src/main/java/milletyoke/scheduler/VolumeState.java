package milletyoke.scheduler;

import java.util.TreeSet;
import milletyoke.scheduler.api.Event;

/** What is kept of one volume, whichever nodes it goes to. */
final class VolumeState extends EvictionCandidate {
    /** Accesses held, and reservations at nodes: these are found by it, so it goes after them. */
    int pendingCount;

    int flowCount;
    final String name;

    /** Its stores, null before they are first used. */
    TokenBucket limitBucket;

    TokenBucket reservationBucket;

    /**
     * With which plan, and through how many hosts, it was last asked for; and whether that ever
     * changed.
     */
    private String plan;

    private int initiatorCount;
    boolean hasMixedPlans;

    /** Its reservations that wait, the earlier made first. */
    final TreeSet<FlowQueue> queuedFlows = new TreeSet<>(FlowQueue.BY_CREATION);

    VolumeState(String name) {
        this.name = name;
    }

    TokenBucket reservationBucketFor(Event.RequestReceived access) {
        if (reservationBucket == null) {
            reservationBucket = new TokenBucket(access.plan(), 0);
        }
        return reservationBucket;
    }

    void recordPlan(Event.RequestReceived access) {
        hasMixedPlans |=
                plan != null
                        && (!plan.equals(access.plan())
                                || initiatorCount != access.initiatorCount());
        plan = access.plan();
        initiatorCount = access.initiatorCount();
    }
}
