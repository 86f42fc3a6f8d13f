package milletyoke.scheduler;

import java.util.TreeSet;
import milletyoke.scheduler.api.Event;

/** State of one volume over all shards. */
final class VolumeState extends EvictionCandidate {
    /** Number of pending requests. */
    int pendingCount;

    /** Number of ids of this volume that are remembered or reserved as executed. */
    int executedIdCount;

    /** Number of flows at shards, which must be evicted before the volume. */
    int flowCount;

    final String name;

    /** Token buckets, null before their first use. */
    TokenBucket limitBucket;

    TokenBucket reservationBucket;

    /** Plan of the latest request. */
    private String plan;

    /** Number of initiators through which the volume sends, as of the latest request. */
    private int initiatorCount;

    boolean hasMixedPlans;

    /** Flows with queued requests, in the order of creation. */
    final TreeSet<FlowQueue> queuedFlows = new TreeSet<>(FlowQueue.BY_CREATION);

    VolumeState(String name) {
        this.name = name;
    }

    TokenBucket reservationBucketFor(Event.RequestReceived received) {
        if (reservationBucket == null) {
            reservationBucket = new TokenBucket(received.plan(), 0);
        }
        return reservationBucket;
    }

    void recordPlan(Event.RequestReceived received) {
        hasMixedPlans |=
                plan != null
                        && (!plan.equals(received.plan())
                                || initiatorCount != received.initiatorCount());
        plan = received.plan();
        initiatorCount = received.initiatorCount();
    }
}
