package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import milletyoke.scheduler.api.Event;

/**
 * The shards, and which of them are to be served in this turn: those where something happened and
 * those that are due. A shard that need not be served costs nothing. Decides nothing: a shard that
 * is served for no reason does nothing.
 */
final class DispatchQueue {
    private final Map<Integer, ShardQueue> shardQueues = new LinkedHashMap<>();
    private final Map<String, VolumeState> volumes = new LinkedHashMap<>();

    /**
     * Each plan's rate-limit bucket as of a volume that was not seen or was evicted, for one
     * initiator.
     */
    private final Map<String, TokenBucket> defaultLimitBuckets = new LinkedHashMap<>();

    /** Shard queues by slot, null where one was evicted; below, the free slots. */
    private final List<ShardQueue> slots = new ArrayList<>();

    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();

    /** Volumes and flows, the one checked longest ago first. */
    final ArrayDeque<EvictionCandidate> evictionCandidates = new ArrayDeque<>();

    private int nextShardQueueNumber;
    private final TreeSet<ShardQueue> toServe =
            new TreeSet<>(Comparator.comparingInt(shardQueue -> shardQueue.creationNumber));
    private final IndexedTimerQueue serviceTimes = new IndexedTimerQueue();
    private final Set<ShardQueue> retryBudgetDependents = new LinkedHashSet<>();
    private long nextFlowNumber;
    private long nextEnqueueNumber;

    /** Requests queued, at all shards. */
    int queuedCount;

    /** All shards, in the order of creation. */
    Collection<ShardQueue> shardQueues() {
        return shardQueues.values();
    }

    /** The number of slots that {@link #randomShard} draws from. */
    int slotCount() {
        return slots.size();
    }

    /** A shard, all with equal odds; null where the slot drawn is free. */
    ShardQueue randomShard(SplittableRandom chance) {
        return slots.get(chance.nextInt(slots.size()));
    }

    Map<Integer, ShardQueue> byShard() {
        return shardQueues;
    }

    ShardQueue shardQueue(int shard) {
        ShardQueue known = shardQueues.get(shard);
        if (known == null) {
            int slot = freeSlots.isEmpty() ? slots.size() : freeSlots.poll();
            known = new ShardQueue(nextShardQueueNumber++, slot, shard);
            if (slot == slots.size()) {
                slots.add(known);
            }
            slots.set(slot, known);
            shardQueues.put(shard, known);
        }
        return known;
    }

    void evict(ShardQueue shardQueue) {
        shardQueues.remove(shardQueue.shard);
        toServe.remove(shardQueue);
        retryBudgetDependents.remove(shardQueue);
        serviceTimes.set(shardQueue.slot, IndexedTimerQueue.NEVER);
        slots.set(shardQueue.slot, null);
        freeSlots.add(shardQueue.slot);
    }

    /** The buckets of all rate limits, with those that stand for volumes not seen. */
    List<TokenBucket> limitBuckets() {
        List<TokenBucket> all = new ArrayList<>(defaultLimitBuckets.values());
        for (VolumeState volume : volumes.values()) {
            if (volume.limitBucket != null) {
                all.add(volume.limitBucket);
            }
        }
        return all;
    }

    /** A plan is known from now on, at the latest: the bucket of its rate limit starts empty. */
    void addPlan(String plan, long now) {
        defaultLimitBuckets.computeIfAbsent(plan, p -> new TokenBucket(p, now));
    }

    /**
     * The bucket of a volume's rate limit; one as for a volume not seen before where there is none.
     */
    TokenBucket limitBucket(PendingRequest request) {
        VolumeState volume = request.volume;
        if (volume.limitBucket == null) {
            volume.limitBucket =
                    new TokenBucket(
                            defaultLimitBuckets.get(request.received.plan()),
                            request.received.plan(),
                            request.initiatorCount());
        }
        return volume.limitBucket;
    }

    /** A bucket as it would be made now for the same plan and number of initiators. */
    TokenBucket newLimitBucketLike(TokenBucket like) {
        return new TokenBucket(defaultLimitBuckets.get(like.plan), like.plan, like.initiatorCount);
    }

    /** The state of a volume, null where none is kept. */
    VolumeState volume(String name) {
        return volumes.get(name);
    }

    /** The volume of a request that is admitted now; a new one where it is not known. */
    VolumeState volume(Event.RequestReceived access, long now) {
        VolumeState known = volumes.get(access.volume());
        if (known == null) {
            known = new VolumeState(access.volume());
            volumes.put(access.volume(), known);
            known.lastCheckedAt = now;
            evictionCandidates.addLast(known);
        }
        known.lastUsedAt = now;
        known.recordPlan(access);
        known.pendingCount++;
        return known;
    }

    void evict(VolumeState volume) {
        volumes.remove(volume.name);
    }

    /** Something changed that may let requests leave this shard. */
    void markForService(ShardQueue shardQueue) {
        toServe.add(shardQueue);
    }

    /**
     * The same, for more than free slots: what was found of any request queued here may be
     * outdated.
     */
    void invalidate(ShardQueue shardQueue) {
        shardQueue.mustRecheckAll = true;
        toServe.add(shardQueue);
    }

    /** The same, for the requests of one volume at one shard. */
    void invalidate(FlowQueue flow) {
        flow.shardQueue.unpark(flow);
        toServe.add(flow.shardQueue);
    }

    void invalidate(VolumeState volume) {
        List.copyOf(volume.queuedFlows).forEach(this::invalidate);
    }

    /** A bucket follows the plan of this request; what was found of its volume may be outdated. */
    void usePlan(TokenBucket bucket, PendingRequest request) {
        if (request.volume.hasMixedPlans
                || (request.hasRateLimit() && request.reservationRate() > 0)) {
            invalidate(request.volume);
        }
        bucket.usePlanOf(request.received);
    }

    void invalidateAll() {
        shardQueues.values().forEach(this::invalidate);
    }

    /** What was found at this shard depends on the retry budget. */
    void markRetryBudgetDependent(ShardQueue shardQueue) {
        retryBudgetDependents.add(shardQueue);
    }

    /** The retry budget is used up, or left again. */
    void retryBudgetChanged() {
        retryBudgetDependents.forEach(this::invalidate);
        retryBudgetDependents.clear();
    }

    /** Serve this shard at that time too, if nothing happens before. */
    void serveAt(ShardQueue shardQueue, long time) {
        serviceTimes.set(shardQueue.slot, time);
    }

    void collectDue(long now) {
        for (int n : serviceTimes.removeDue(now)) {
            toServe.add(slots.get(n));
        }
    }

    /**
     * Removes the next shard to serve, in the order of creation. One that is marked while a later
     * one is served comes at the next call.
     *
     * @param after the one before, null for the first
     * @return null for none
     */
    ShardQueue next(ShardQueue after) {
        ShardQueue next =
                after == null
                        ? (toServe.isEmpty() ? null : toServe.first())
                        : toServe.higher(after);
        while (next != null && toServe.remove(next) && next.queuedCount == 0) {
            next = toServe.higher(next);
        }
        return next;
    }

    /** The flow of a volume at a shard; a new one where there is none. */
    FlowQueue flow(ShardQueue shardQueue, VolumeState volume, long now) {
        FlowQueue known = shardQueue.flows.get(volume);
        if (known == null) {
            known = new FlowQueue(nextFlowNumber++, shardQueue, volume);
            known.extraTag = shardQueue.initialExtraTag;
            shardQueue.flows.put(volume, known);
            volume.flowCount++;
            known.lastCheckedAt = now;
            evictionCandidates.addLast(known);
        }
        known.lastUsedAt = now;
        return known;
    }

    /** Adds a request to a flow, and updates the orders of the shard. */
    void enqueue(PendingRequest request, FlowQueue flow) {
        if (flow.weight != request.weight()) {
            flow.shardQueue.removeFromOrders(flow);
            flow.weight = request.weight();
        }
        request.enqueueNumber = nextEnqueueNumber++;
        request.flow = flow;
        flow.shardQueue.add(request, flow);
        flow.shardQueue.updateOrders(flow);
        queuedCount++;
        toServe.add(flow.shardQueue);
    }

    /** Removes a request from its queue, if it is queued. */
    void dequeue(PendingRequest request) {
        if (request.isQueued()) {
            FlowQueue flow = request.flow;
            flow.shardQueue.remove(request, flow);
            flow.shardQueue.updateOrders(flow);
            queuedCount--;
        }
    }

    /** Removes a request from the sequence of its key; the next one may then be sent. */
    void removeFromKey(KeySequence turns, PendingRequest request) {
        turns.requests.remove(request);
        if (!turns.requests.isEmpty() && turns.requests.first().isQueued()) {
            invalidate(turns.requests.first().flow);
        }
    }
}
