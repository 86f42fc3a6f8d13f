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

    /** The one tie-break of tags: the flow created first. */
    static final Comparator<FlowQueue> BY_FINISH_TAG =
            (a, b) -> breakTie(Double.compare(a.finishTag, b.finishTag), a, b);

    static final Comparator<FlowQueue> BY_EXTRA_TAG =
            (a, b) -> breakTie(Double.compare(a.extraTag, b.extraTag), a, b);
    static final Comparator<FlowQueue> BY_CHECK_TIME =
            (a, b) -> breakTie(Long.compare(a.parkedUntil, b.parkedUntil), a, b);

    /** The order of creation, over all shards. */
    final long creationNumber;

    final ShardQueue shardQueue;
    final VolumeState volume;
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.WITHIN_VOLUME);
    double weight;
    double startTag;
    double finishTag;
    double extraTag;

    /** While it is parked: when to check it again, microseconds. */
    long parkedUntil;

    /** Whether it is in the orders of its shard; below, in which ones. */
    boolean isOrdered;

    boolean isReady;
    boolean isBelowReservation;
    boolean isParked;

    FlowQueue(long made, ShardQueue shardQueue, VolumeState volume) {
        this.creationNumber = made;
        this.shardQueue = shardQueue;
        this.volume = volume;
    }

    void updateFinishTag() {
        finishTag = requests.isEmpty() ? finishTag : startTag + tagStep(requests.first());
    }

    /** The first queued request that passes, null for none. */
    PendingRequest firstMatching(Predicate<PendingRequest> passes) {
        for (PendingRequest request : requests) {
            if (passes.test(request)) {
                return request;
            }
        }
        return null;
    }

    /** How far one request moves a tag. */
    double tagStep(PendingRequest request) {
        return request.received.units() / weight;
    }

    private static int breakTie(int byTag, FlowQueue a, FlowQueue b) {
        return byTag != 0 ? byTag : Long.compare(a.creationNumber, b.creationNumber);
    }
}
