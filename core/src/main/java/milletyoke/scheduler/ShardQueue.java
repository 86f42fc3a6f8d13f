package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The node that holds one shard, whichever target that is now; -1 for none. */
final class ShardQueue {
    /** Its place in the order of making. */
    final int made;

    final int slot;
    final int shard;

    /** The extra tag that a reservation starts with: the highest of those forgotten here. */
    double firstExtra;

    int target = -1;
    int waiting;
    double virtualTime;
    final Map<VolumeState, FlowQueue> reservations = new HashMap<>();

    /**
     * Targets that the list last named for this shard, usable or not, in the order of their index.
     */
    final TreeSet<Integer> listed = new TreeSet<>();

    /** Reservations that wait, by extra tag; and how many of each weight. */
    final TreeSet<FlowQueue> byExtra = new TreeSet<>(FlowQueue.BY_EXTRA);

    private final TreeMap<Double, Integer> weights = new TreeMap<>();

    /** Those that may have an access to send, by finish tag; and those that may be owed, too. */
    final TreeSet<FlowQueue> ready = new TreeSet<>(FlowQueue.BY_FINISH);

    final TreeSet<FlowQueue> owed = new TreeSet<>(FlowQueue.BY_FINISH);

    /** Those not in both of these that time alone may bring back, by when to look at them again. */
    final TreeSet<FlowQueue> parked = new TreeSet<>(FlowQueue.BY_LOOK);

    /** More than one volume's own affairs may have changed here since what is parked was parked. */
    boolean changed;

    /** Accesses that wait here, by agreed time, and by extent where they may join others. */
    final TreeSet<PendingRequest> byAgreed = new TreeSet<>(PendingRequest.BY_AGREED);

    final Map<String, TreeSet<PendingRequest>> byExtent = new HashMap<>();

    ShardQueue(int made, int slot, int shard) {
        this.made = made;
        this.slot = slot;
        this.shard = shard;
    }

    /** Takes a reservation out of every order, so that its tags and queue may change. */
    void unfile(FlowQueue r) {
        if (r.filed) {
            r.filed = false;
            byExtra.remove(r);
            weights.merge(r.weight, -1, (some, less) -> some == 1 ? null : some + less);
            unready(r);
            unowed(r);
            unparked(r);
            r.volume.waiting.remove(r);
        }
    }

    /** Files it under the tags it has now, where it waits; it is to be looked at. */
    void file(FlowQueue r) {
        if (!r.queue.isEmpty()) {
            r.filed = true;
            byExtra.add(r);
            weights.merge(r.weight, 1, Integer::sum);
            look(r);
            r.volume.waiting.add(r);
        }
    }

    /**
     * After its queue or its start tag changed: files it under the finish tag it then has, or out
     * of every order where nobody waits. What did not change keeps its place; it is to be looked at
     * in any case.
     */
    void refile(FlowQueue r) {
        if (!r.filed || r.queue.isEmpty()) {
            unfile(r);
            r.retag();
            file(r);
            return;
        }
        double finish = r.start + r.step(r.queue.first());
        if (finish != r.finish) {
            unready(r);
            unowed(r);
            r.finish = finish;
        }
        unparked(r);
        look(r);
    }

    /** The least weight of those that wait. */
    double lightest() {
        return weights.firstKey();
    }

    // A reservation knows in which of these it is, so that it need not be looked for in the
    // others.

    private void look(FlowQueue r) {
        if (!r.isReady) {
            r.isReady = true;
            ready.add(r);
        }
        if (!r.isOwed) {
            r.isOwed = true;
            owed.add(r);
        }
    }

    private void unready(FlowQueue r) {
        if (r.isReady) {
            r.isReady = false;
            ready.remove(r);
        }
    }

    private void unowed(FlowQueue r) {
        if (r.isOwed) {
            r.isOwed = false;
            owed.remove(r);
        }
    }

    private void unparked(FlowQueue r) {
        if (r.isParked) {
            r.isParked = false;
            parked.remove(r);
        }
    }

    /** Has a reservation that waits looked at, whatever was found before. */
    void unpark(FlowQueue r) {
        if (r.filed) {
            unparked(r);
            look(r);
        }
    }

    /** Weights and finish tags of those that wait follow their plans. */
    void reweigh() {
        for (FlowQueue r : List.copyOf(byExtra)) {
            unfile(r);
            r.weight = r.queue.first().weight();
            r.retag();
            file(r);
        }
    }

    /**
     * Those whose agreed time is before {@code time}, in the order of reservations and inside them.
     */
    List<PendingRequest> lateBy(double time) {
        List<PendingRequest> late = new ArrayList<>();
        for (PendingRequest h : byAgreed) {
            if (time <= h.agreedAt) {
                break;
            }
            late.add(h);
        }
        late.sort(PendingRequest.AT_NODE);
        return late;
    }

    /** Not to be looked at as ready, or only not as owed, before {@code again}. */
    void park(FlowQueue r, boolean ready, long again) {
        unowed(r);
        if (!ready) {
            unready(r);
        }
        if (r.isParked && r.lookAt == again) {
            return;
        }
        unparked(r);
        if (again != IndexedTimerQueue.NEVER) { // else only what happens can bring it back
            r.lookAt = again;
            r.isParked = true;
            parked.add(r);
        }
    }

    /** Has all looked at that is due, or all that wait where more changed. */
    void refresh(long now) {
        if (changed) {
            parked.forEach(r -> r.isParked = false);
            parked.clear();
            byExtra.forEach(this::look);
            changed = false;
        }
        while (!parked.isEmpty() && parked.first().lookAt <= now) {
            unpark(parked.first());
        }
    }

    /** The widest gap between extra tags of those that wait, with one of them a step further. */
    double gap(FlowQueue one, double step) {
        double own = one.extra + step;
        FlowQueue low = byExtra.first() == one ? byExtra.higher(one) : byExtra.first();
        FlowQueue high = byExtra.last() == one ? byExtra.lower(one) : byExtra.last();
        return Math.max(own, high == null ? own : high.extra)
                - Math.min(own, low == null ? own : low.extra);
    }

    void queue(PendingRequest h, FlowQueue r) {
        r.queue.add(h);
        byAgreed.add(h);
        if (h.access.extent() != null && !h.category.keyOrdered()) {
            byExtent.computeIfAbsent(h.access.extent(), x -> new TreeSet<>(PendingRequest.AT_NODE))
                    .add(h);
        }
        waiting++;
    }

    void unqueue(PendingRequest h, FlowQueue r) {
        r.queue.remove(h);
        byAgreed.remove(h);
        TreeSet<PendingRequest> same =
                h.access.extent() == null ? null : byExtent.get(h.access.extent());
        if (same != null && same.remove(h) && same.isEmpty()) {
            byExtent.remove(h.access.extent());
        }
        waiting--;
    }
}
