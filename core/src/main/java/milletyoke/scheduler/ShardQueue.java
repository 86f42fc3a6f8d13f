package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The flows and requests queued for one shard, whichever target serves it. Tags and orders are
 * those of start-time fair queueing.
 */
final class ShardQueue {
    /** Position in the order of creation, in which shards are served. */
    final int creationNumber;

    final int slot;
    final int shard;

    /** Extra tag of a newly created flow: the highest among the evicted flows. */
    double initialExtraTag;

    int target = -1;
    int queuedCount;

    /** Decaying sum of the units requested here; null before the first request. */
    DecayingSum requestedUnits;

    /** Decaying sum of the units that warm targets served here; null before the first. */
    DecayingSum servedUnits;

    /** When the latest request was admitted here. */
    long lastRequestedAt;

    /** Start of the first window of draws; see {@link WarmUpBudget#drawWindow}. */
    long drawsSince;

    double virtualTime;
    final Map<VolumeState, FlowQueue> flows = new HashMap<>();

    /** Indexes of the targets that the latest endpoint list names for this shard, usable or not. */
    final TreeSet<Integer> listedTargets = new TreeSet<>();

    /** Flows with queued requests, by extra tag. */
    final TreeSet<FlowQueue> byExtraTag = new TreeSet<>(FlowQueue.BY_EXTRA_TAG);

    private final TreeMap<Double, Integer> weightCounts = new TreeMap<>();

    /** Flows that may have a request to send, by finish tag. */
    final TreeSet<FlowQueue> ready = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    final TreeSet<FlowQueue> belowReservation = new TreeSet<>(FlowQueue.BY_FINISH_TAG);

    /** Flows that may become sendable without an event, by the time of their next check. */
    final TreeSet<FlowQueue> parked = new TreeSet<>(FlowQueue.BY_CHECK_TIME);

    /** Whether more than the state of one volume changed here since flows were parked. */
    boolean mustRecheckAll;

    /** The requests queued here, by latency objective. */
    final TreeSet<PendingRequest> byObjective = new TreeSet<>(PendingRequest.BY_OBJECTIVE);

    final Map<String, TreeSet<PendingRequest>> byExtent = new HashMap<>();

    ShardQueue(int creationNumber, int slot, int shard) {
        this.creationNumber = creationNumber;
        this.slot = slot;
        this.shard = shard;
    }

    /** Removes a flow from all orders, so that its tags and requests may change. */
    void removeFromOrders(FlowQueue flow) {
        if (flow.isOrdered) {
            flow.isOrdered = false;
            byExtraTag.remove(flow);
            weightCounts.merge(
                    flow.weight, -1, (count, change) -> count == 1 ? null : count + change);
            removeFromReady(flow);
            removeFromBelowReservation(flow);
            removeFromParked(flow);
            flow.volume.queuedFlows.remove(flow);
        }
    }

    /** Adds a flow with requests to the orders by its current tags, and has it checked. */
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
     * Updates the orders after the requests or the start tag of a flow changed: moves the flow by
     * its new finish tag, or removes it if it is empty. Unchanged positions are kept; the flow is
     * checked again in any case.
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

    /** Returns the least weight among flows with queued requests. */
    double minimumWeight() {
        return weightCounts.firstKey();
    }

    // Each flow records which of these orders contain it, which saves lookups in the others.

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

    /** Marks a flow with requests for another check, whatever the last check found. */
    void unpark(FlowQueue flow) {
        if (flow.isOrdered) {
            removeFromParked(flow);
            markForCheck(flow);
        }
    }

    /** Updates the weights and finish tags of all flows with requests to their current plans. */
    void applyPlanWeights() {
        for (FlowQueue flow : List.copyOf(byExtraTag)) {
            removeFromOrders(flow);
            flow.weight = flow.requests.first().weight();
            flow.updateFinishTag();
            addToOrders(flow);
        }
    }

    /**
     * Returns the requests whose objective is before {@code time}, by flow and in the order within
     * it.
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

    /**
     * Excludes a flow from checks until {@code recheckAt}.
     *
     * @param ready whether the flow has a request to send, though none below its reservation
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
        if (recheckAt != IndexedTimerQueue.NEVER) { // otherwise only an event can unpark it
            flow.parkedUntil = recheckAt;
            flow.isParked = true;
            parked.add(flow);
        }
    }

    /** Marks for a check the flows that are due, or all flows if {@link #mustRecheckAll} is set. */
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
     * Returns the widest gap between extra tags of flows with requests if the tag of {@code flow}
     * advances by {@code step}.
     */
    double extraTagGap(FlowQueue flow, double step) {
        double advancedTag = flow.extraTag + step;
        FlowQueue lowest =
                byExtraTag.first() == flow ? byExtraTag.higher(flow) : byExtraTag.first();
        FlowQueue highest = byExtraTag.last() == flow ? byExtraTag.lower(flow) : byExtraTag.last();
        return Math.max(advancedTag, highest == null ? advancedTag : highest.extraTag)
                - Math.min(advancedTag, lowest == null ? advancedTag : lowest.extraTag);
    }

    void add(PendingRequest request, FlowQueue flow) {
        flow.requests.add(request);
        byObjective.add(request);
        if (request.received.extent() != null && !request.requestClass.keyOrdered()) {
            byExtent.computeIfAbsent(
                            request.received.extent(),
                            extent -> new TreeSet<>(PendingRequest.WITHIN_SHARD))
                    .add(request);
        }
        queuedCount++;
    }

    void remove(PendingRequest request, FlowQueue flow) {
        flow.requests.remove(request);
        byObjective.remove(request);
        TreeSet<PendingRequest> sameExtent =
                request.received.extent() == null ? null : byExtent.get(request.received.extent());
        if (sameExtent != null && sameExtent.remove(request) && sameExtent.isEmpty()) {
            byExtent.remove(request.received.extent());
        }
        queuedCount--;
    }
}
