package milletyoke.scheduler;

import java.util.TreeSet;
import milletyoke.scheduler.api.Event;

/** What is kept of one volume over all shards. */
final class VolumeState extends EvictionCandidate {
    /** Requests pending; below, flows at shards, which must be evicted before the volume. */
    int pendingCount;

    int flowCount;
    final String name;

    /** Token buckets, null before they are first used. */
    TokenBucket limitBucket;

    TokenBucket reservationBucket;

    /** The plan of the latest request, and through how many initiators it was sent. */
    private String plan;

    private int initiatorCount;
    boolean hasMixedPlans;

    /** Flows with queued requests, in the order of creation. */
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
