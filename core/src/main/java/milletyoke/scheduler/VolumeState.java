package milletyoke.scheduler;

import java.util.TreeSet;
import milletyoke.scheduler.api.Event;

/** What is kept of one volume, whichever nodes it goes to. */
final class VolumeState extends EvictionCandidate {
    /** Accesses held, and reservations at nodes: these are found by it, so it goes after them. */
    int held;

    int reservations;
    final String name;

    /** Its stores, null before they are first used. */
    TokenBucket limit;

    TokenBucket reserve;

    /**
     * With which plan, and through how many hosts, it was last asked for; and whether that ever
     * changed.
     */
    private String plan;

    private int hosts;
    boolean mixed;

    /** Its reservations that wait, the earlier made first. */
    final TreeSet<FlowQueue> waiting = new TreeSet<>(FlowQueue.BY_MAKING);

    VolumeState(String name) {
        this.name = name;
    }

    TokenBucket reserveFor(Event.RequestReceived access) {
        if (reserve == null) {
            reserve = new TokenBucket(access.plan(), 0);
        }
        return reserve;
    }

    void asks(Event.RequestReceived access) {
        mixed |= plan != null && (!plan.equals(access.plan()) || hosts != access.initiatorCount());
        plan = access.plan();
        hosts = access.initiatorCount();
    }
}
