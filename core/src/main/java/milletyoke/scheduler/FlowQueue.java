package milletyoke.scheduler;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The queue of one volume at one shard, with the start, finish and extra tags of start-time fair
 * queueing.
 */
final class FlowQueue extends EvictionCandidate {
    static final Comparator<FlowQueue> BY_CREATION =
            (a, b) -> Long.compare(a.creationNumber, b.creationNumber);

    /** Ties are broken by creation order, here and in the other orders by tag or time. */
    static final Comparator<FlowQueue> BY_FINISH_TAG =
            (a, b) -> breakTie(Double.compare(a.finishTag, b.finishTag), a, b);

    static final Comparator<FlowQueue> BY_EXTRA_TAG =
            (a, b) -> breakTie(Double.compare(a.extraTag, b.extraTag), a, b);
    static final Comparator<FlowQueue> BY_CHECK_TIME =
            (a, b) -> breakTie(Long.compare(a.parkedUntil, b.parkedUntil), a, b);

    /** Position in the order of creation over all shards. */
    final long creationNumber;

    final ShardQueue shardQueue;
    final VolumeState volume;
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.WITHIN_VOLUME);
    double weight;
    double startTag;
    double finishTag;
    double extraTag;

    /** When to check the flow again while it is parked, microseconds. */
    long parkedUntil;

    /** Whether the flow is in the orders of its shard; the flags that follow tell in which. */
    boolean isOrdered;

    boolean isReady;
    boolean isBelowReservation;
    boolean isParked;

    FlowQueue(long creationNumber, ShardQueue shardQueue, VolumeState volume) {
        this.creationNumber = creationNumber;
        this.shardQueue = shardQueue;
        this.volume = volume;
    }

    void updateFinishTag() {
        finishTag = requests.isEmpty() ? finishTag : startTag + tagStep(requests.first());
    }

    /** Returns the first queued request that passes, null if none does. */
    PendingRequest firstMatching(Predicate<PendingRequest> passes) {
        for (PendingRequest request : requests) {
            if (passes.test(request)) {
                return request;
            }
        }
        return null;
    }

    /** Returns by how much a request advances a tag. */
    double tagStep(PendingRequest request) {
        return request.received.units() / weight;
    }

    private static int breakTie(int byTag, FlowQueue a, FlowQueue b) {
        return byTag != 0 ? byTag : Long.compare(a.creationNumber, b.creationNumber);
    }
}
