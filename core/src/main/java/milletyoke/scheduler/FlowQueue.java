package milletyoke.scheduler;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.Predicate;

/** A volume's reservation queue at one node, with its three tags. */
final class FlowQueue extends EvictionCandidate {
    static final Comparator<FlowQueue> BY_MAKING = (a, b) -> Long.compare(a.made, b.made);

    /** The one tie-break of tags: who was made first. */
    static final Comparator<FlowQueue> BY_FINISH =
            (a, b) -> order(Double.compare(a.finish, b.finish), a, b);

    static final Comparator<FlowQueue> BY_EXTRA =
            (a, b) -> order(Double.compare(a.extra, b.extra), a, b);
    static final Comparator<FlowQueue> BY_LOOK =
            (a, b) -> order(Long.compare(a.lookAt, b.lookAt), a, b);

    /** Its place in the order of making, over all nodes. */
    final long made;

    final ShardQueue node;
    final VolumeState volume;
    final TreeSet<PendingRequest> queue = new TreeSet<>(PendingRequest.INSIDE);
    double weight;
    double start;
    double finish;
    double extra;

    /** While it is parked: when to look at it again. */
    long lookAt;

    /** In which orders of its node it is now. */
    boolean filed;

    boolean isReady;
    boolean isOwed;
    boolean isParked;

    FlowQueue(long made, ShardQueue node, VolumeState volume) {
        this.made = made;
        this.node = node;
        this.volume = volume;
    }

    void retag() {
        finish = queue.isEmpty() ? finish : start + step(queue.first());
    }

    /** The first that waits and passes, null for none. */
    PendingRequest first(Predicate<PendingRequest> passes) {
        for (PendingRequest h : queue) {
            if (passes.test(h)) {
                return h;
            }
        }
        return null;
    }

    /** How far one access moves a tag. */
    double step(PendingRequest h) {
        return h.access.units() / weight;
    }

    private static int order(int byTag, FlowQueue a, FlowQueue b) {
        return byTag != 0 ? byTag : Long.compare(a.made, b.made);
    }
}
