package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The flows and requests queued for one shard, whichever target serves it now. The tags and orders
 * are those of start-time fair queueing.
 */
final class ShardQueue {
    /** The order of creation, in which shards are served. */
    final int creationNumber;

    final int slot;
    final int shard;

    /** The extra tag that a new flow starts with: the highest among the evicted flows. */
    double initialExtraTag;

    int target = -1;
    int queuedCount;

    /** Units requested here of late, and below those that warm targets served; null for none. */
    DecayingSum requestedUnits;

    DecayingSum servedUnits;

    /** When the latest request was admitted here; below, from when on draws are made. */
    long lastRequestedAt;

    long drawsSince;

    double virtualTime;
    final Map<VolumeState, FlowQueue> flows = new HashMap<>();

    /** Targets that the endpoint list last named for this shard, usable or not, by index. */
    final TreeSet<Integer> listedTargets = new TreeSet<>();

    /** Flows with queued requests, by extra tag. */
    final TreeSet<FlowQueue> byExtraTag = new TreeSet<>(FlowQueue.BY_EXTRA_TAG);

    private final TreeMap<Double, Integer> weightCounts = new TreeMap<>();

    /** Flows that may have a request to send, by finish tag. */
    final TreeSet<FlowQueue> ready = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    final TreeSet<FlowQueue> belowReservation = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    /** Flows that time alone may bring back to the orders above, by when to check them again. */
    final TreeSet<FlowQueue> parked = new TreeSet<>(FlowQueue.BY_CHECK_TIME);

    /** More than the affairs of one volume may have changed here since flows were parked. */
    boolean mustRecheckAll;

    /** The requests queued here, by latency objective. */
    final TreeSet<PendingRequest> byObjective = new TreeSet<>(PendingRequest.BY_OBJECTIVE);

    final Map<String, TreeSet<PendingRequest>> byExtent = new HashMap<>();

    ShardQueue(int made, int slot, int shard) {
        this.creationNumber = made;
        this.slot = slot;
        this.shard = shard;
    }

    /** Removes a flow from every order, so that its tags and requests may change. */
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

    /** Adds a flow that has requests to the orders, by its current tags; it is to be checked. */
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
     * Updates the orders after the requests or the start tag of a flow changed: by its new finish
     * tag, or out of every order where it is empty. What did not change keeps its place; the flow
     * is to be checked in any case.
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

    /** The least weight among flows with queued requests. */
    double minimumWeight() {
        return weightCounts.firstKey();
    }

    // A flow knows in which of these orders it is, so that it need not be looked up in the
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

    /** Has a flow with requests checked again, whatever was found before. */
    void unpark(FlowQueue flow) {
        if (flow.isOrdered) {
            removeFromParked(flow);
            markForCheck(flow);
        }
    }

    /** The weights and finish tags of flows with requests follow their plans. */
    void applyPlanWeights() {
        for (FlowQueue flow : List.copyOf(byExtraTag)) {
            removeFromOrders(flow);
            flow.weight = flow.requests.first().weight();
            flow.updateFinishTag();
            addToOrders(flow);
        }
    }

    /** Requests whose objective is before {@code time}, in the order of flows and inside them. */
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

    /**
     * Not to be checked before {@code recheckAt}.
     *
     * @param ready whether the flow still has a request to send, if none below its reservation
     */
    void park(FlowQueue flow, boolean ready, long recheckAt) {
        removeFromBelowReservation(flow);
        if (!ready) {
            removeFromReady(flow);
        }
        if (flow.isParked && flow.parkedUntil == recheckAt) {
            return;
        }
        removeFromParked(flow);
        if (recheckAt != IndexedTimerQueue.NEVER) { // otherwise only an event can bring it back
            flow.parkedUntil = recheckAt;
            flow.isParked = true;
            parked.add(flow);
        }
    }

    /** Has all flows checked that are due, or all flows where more changed. */
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

    /**
     * The widest gap between extra tags of flows with requests, with one of them a step further.
     */
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
