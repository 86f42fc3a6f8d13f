package milletyoke.scheduler;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Predicate;

/** A volume's reservation queue at one node, with its three tags. */
final class FlowQueue extends EvictionCandidate {
    static final Comparator<FlowQueue> BY_CREATION =
            (a, b) -> Long.compare(a.creationNumber, b.creationNumber);

    /** The one tie-break of tags: who was made first. */
    static final Comparator<FlowQueue> BY_FINISH_TAG =
            (a, b) -> breakTie(Double.compare(a.finishTag, b.finishTag), a, b);

    static final Comparator<FlowQueue> BY_EXTRA_TAG =
            (a, b) -> breakTie(Double.compare(a.extraTag, b.extraTag), a, b);
    static final Comparator<FlowQueue> BY_CHECK_TIME =
            (a, b) -> breakTie(Long.compare(a.parkedUntil, b.parkedUntil), a, b);

    /** Its place in the order of making, over all nodes. */
    final long creationNumber;

    final ShardQueue shardQueue;
    final VolumeState volume;
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.WITHIN_VOLUME);
    double weight;
    double startTag;
    double finishTag;
    double extraTag;

    /** While it is parked: when to look at it again. */
    long parkedUntil;

    /** In which orders of its node it is now. */
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

    /** The first that waits and passes, null for none. */
    PendingRequest firstMatching(Predicate<PendingRequest> passes) {
        for (PendingRequest request : requests) {
            if (passes.test(request)) {
                return request;
            }
        }
        return null;
    }

    /** How far one access moves a tag. */
    double tagStep(PendingRequest request) {
        return request.received.units() / weight;
    }

    private static int breakTie(int byTag, FlowQueue a, FlowQueue b) {
        return byTag != 0 ? byTag : Long.compare(a.creationNumber, b.creationNumber);
    }
}
