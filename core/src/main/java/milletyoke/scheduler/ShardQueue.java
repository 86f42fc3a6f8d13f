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
    final int creationNumber;

    final int slot;
    final int shard;

    /** The extra tag that a reservation starts with: the highest of those forgotten here. */
    double initialExtraTag;

    int target = -1;
    int queuedCount;
    double virtualTime;
    final Map<VolumeState, FlowQueue> flows = new HashMap<>();

    /**
     * Targets that the list last named for this shard, usable or not, in the order of their index.
     */
    final TreeSet<Integer> listedTargets = new TreeSet<>();

    /** Reservations that wait, by extra tag; and how many of each weight. */
    final TreeSet<FlowQueue> byExtraTag = new TreeSet<>(FlowQueue.BY_EXTRA_TAG);

    private final TreeMap<Double, Integer> weightCounts = new TreeMap<>();

    /** Those that may have an access to send, by finish tag; and those that may be owed, too. */
    final TreeSet<FlowQueue> ready = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    final TreeSet<FlowQueue> belowReservation = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    /** Those not in both of these that time alone may bring back, by when to look at them again. */
    final TreeSet<FlowQueue> parked = new TreeSet<>(FlowQueue.BY_CHECK_TIME);

    /** More than one volume's own affairs may have changed here since what is parked was parked. */
    boolean mustRecheckAll;

    /** Accesses that wait here, by agreed time, and by extent where they may join others. */
    final TreeSet<PendingRequest> byObjective = new TreeSet<>(PendingRequest.BY_OBJECTIVE);

    final Map<String, TreeSet<PendingRequest>> byExtent = new HashMap<>();

    ShardQueue(int made, int slot, int shard) {
        this.creationNumber = made;
        this.slot = slot;
        this.shard = shard;
    }

    /** Takes a reservation out of every order, so that its tags and queue may change. */
    void removeFromOrders(FlowQueue flow) {
        if (flow.isOrdered) {
            flow.isOrdered = false;
            byExtraTag.remove(flow);
            weightCounts.merge(flow.weight, -1, (some, less) -> some == 1 ? null : some + less);
            removeFromReady(flow);
            removeFromBelowReservation(flow);
            removeFromParked(flow);
            flow.volume.queuedFlows.remove(flow);
        }
    }

    /** Files it under the tags it has now, where it waits; it is to be looked at. */
    void addToOrders(FlowQueue flow) {
        if (!flow.requests.isEmpty()) {
            flow.isOrdered = true;
            byExtraTag.add(flow);
            weightCounts.merge(flow.weight, 1, Integer::sum);
            markForCheck(flow);
            flow.volume.queuedFlows.add(flow);
        }
    }

    /**
     * After its queue or its start tag changed: files it under the finish tag it then has, or out
     * of every order where nobody waits. What did not change keeps its place; it is to be looked at
     * in any case.
     */
    void updateOrders(FlowQueue flow) {
        if (!flow.isOrdered || flow.requests.isEmpty()) {
            removeFromOrders(flow);
            flow.updateFinishTag();
            addToOrders(flow);
            return;
        }
        double finish = flow.startTag + flow.tagStep(flow.requests.first());
        if (finish != flow.finishTag) {
            removeFromReady(flow);
            removeFromBelowReservation(flow);
            flow.finishTag = finish;
        }
        removeFromParked(flow);
        markForCheck(flow);
    }

    /** The least weight of those that wait. */
    double minimumWeight() {
        return weightCounts.firstKey();
    }

    // A reservation knows in which of these it is, so that it need not be looked for in the
    // others.

    private void markForCheck(FlowQueue flow) {
        if (!flow.isReady) {
            flow.isReady = true;
            ready.add(flow);
        }
        if (!flow.isBelowReservation) {
            flow.isBelowReservation = true;
            belowReservation.add(flow);
        }
    }

    private void removeFromReady(FlowQueue flow) {
        if (flow.isReady) {
            flow.isReady = false;
            ready.remove(flow);
        }
    }

    private void removeFromBelowReservation(FlowQueue flow) {
        if (flow.isBelowReservation) {
            flow.isBelowReservation = false;
            belowReservation.remove(flow);
        }
    }

    private void removeFromParked(FlowQueue flow) {
        if (flow.isParked) {
            flow.isParked = false;
            parked.remove(flow);
        }
    }

    /** Has a reservation that waits looked at, whatever was found before. */
    void unpark(FlowQueue flow) {
        if (flow.isOrdered) {
            removeFromParked(flow);
            markForCheck(flow);
        }
    }

    /** Weights and finish tags of those that wait follow their plans. */
    void applyPlanWeights() {
        for (FlowQueue flow : List.copyOf(byExtraTag)) {
            removeFromOrders(flow);
            flow.weight = flow.requests.first().weight();
            flow.updateFinishTag();
            addToOrders(flow);
        }
    }

    /**
     * Those whose agreed time is before {@code time}, in the order of reservations and inside them.
     */
    List<PendingRequest> requestsDueBefore(double time) {
        List<PendingRequest> late = new ArrayList<>();
        for (PendingRequest request : byObjective) {
            if (time <= request.objectiveAt) {
                break;
            }
            late.add(request);
        }
        late.sort(PendingRequest.WITHIN_SHARD);
        return late;
    }

    /** Not to be looked at as ready, or only not as owed, before {@code again}. */
    void park(FlowQueue flow, boolean ready, long again) {
        removeFromBelowReservation(flow);
        if (!ready) {
            removeFromReady(flow);
        }
        if (flow.isParked && flow.parkedUntil == again) {
            return;
        }
        removeFromParked(flow);
        if (again != IndexedTimerQueue.NEVER) { // else only what happens can bring it back
            flow.parkedUntil = again;
            flow.isParked = true;
            parked.add(flow);
        }
    }

    /** Has all looked at that is due, or all that wait where more changed. */
    void refresh(long now) {
        if (mustRecheckAll) {
            parked.forEach(flow -> flow.isParked = false);
            parked.clear();
            byExtraTag.forEach(this::markForCheck);
            mustRecheckAll = false;
        }
        while (!parked.isEmpty() && parked.first().parkedUntil <= now) {
            unpark(parked.first());
        }
    }

    /** The widest gap between extra tags of those that wait, with one of them a step further. */
    double extraTagGap(FlowQueue one, double step) {
        double own = one.extraTag + step;
        FlowQueue low = byExtraTag.first() == one ? byExtraTag.higher(one) : byExtraTag.first();
        FlowQueue high = byExtraTag.last() == one ? byExtraTag.lower(one) : byExtraTag.last();
        return Math.max(own, high == null ? own : high.extraTag)
                - Math.min(own, low == null ? own : low.extraTag);
    }

    void add(PendingRequest request, FlowQueue flow) {
        flow.requests.add(request);
        byObjective.add(request);
        if (request.received.extent() != null && !request.requestClass.keyOrdered()) {
            byExtent.computeIfAbsent(
                            request.received.extent(),
                            x -> new TreeSet<>(PendingRequest.WITHIN_SHARD))
                    .add(request);
        }
        queuedCount++;
    }

    void remove(PendingRequest request, FlowQueue flow) {
        flow.requests.remove(request);
        byObjective.remove(request);
        TreeSet<PendingRequest> same =
                request.received.extent() == null ? null : byExtent.get(request.received.extent());
        if (same != null && same.remove(request) && same.isEmpty()) {
            byExtent.remove(request.received.extent());
        }
        queuedCount--;
    }
}
