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
 * Holds the shard queues and tracks which of them to serve in this turn: those where something
 * changed and those that are due. A shard that needs no service costs nothing. Makes no decisions:
 * serving a shard needlessly has no effect.
 */
final class DispatchQueue {
    private final Map<Integer, ShardQueue> shardQueues = new LinkedHashMap<>();
    private final Map<String, VolumeState> volumes = new LinkedHashMap<>();

    /**
     * Rate-limit bucket per plan of a volume that is unseen or was evicted, for a single initiator.
     */
    private final Map<String, TokenBucket> defaultLimitBuckets = new LinkedHashMap<>();

    /** Shard queues by slot, null where the shard was evicted. */
    private final List<ShardQueue> slots = new ArrayList<>();

    /** Slots without a shard, to be reused. */
    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();

    /** Volumes and flows, least recently checked first. */
    final ArrayDeque<EvictionCandidate> evictionCandidates = new ArrayDeque<>();

    private int nextShardQueueNumber;
    private final TreeSet<ShardQueue> toServe =
            new TreeSet<>(Comparator.comparingInt(shardQueue -> shardQueue.creationNumber));
    private final IndexedTimerQueue serviceTimes = new IndexedTimerQueue();
    private final Set<ShardQueue> retryBudgetDependents = new LinkedHashSet<>();
    private long nextFlowNumber;
    private long nextEnqueueNumber;

    /** Number of queued requests over all shards. */
    int queuedCount;

    /** Returns all shards in order of creation. */
    Collection<ShardQueue> shardQueues() {
        return shardQueues.values();
    }

    /** Returns the number of slots that {@link #randomShard} draws from. */
    int slotCount() {
        return slots.size();
    }

    /**
     * Returns the shard in a random slot, null if the slot is free; all slots are equally likely.
     */
    ShardQueue randomShard(SplittableRandom random) {
        return slots.get(random.nextInt(slots.size()));
    }

    Map<Integer, ShardQueue> byShard() {
        return shardQueues;
    }

    ShardQueue shardQueue(int shard) {
        ShardQueue shardQueue = shardQueues.get(shard);
        if (shardQueue == null) {
            int slot = freeSlots.isEmpty() ? slots.size() : freeSlots.poll();
            shardQueue = new ShardQueue(nextShardQueueNumber++, slot, shard);
            if (slot == slots.size()) {
                slots.add(shardQueue);
            }
            slots.set(slot, shardQueue);
            shardQueues.put(shard, shardQueue);
        }
        return shardQueue;
    }

    void evict(ShardQueue shardQueue) {
        shardQueues.remove(shardQueue.shard);
        toServe.remove(shardQueue);
        retryBudgetDependents.remove(shardQueue);
        serviceTimes.set(shardQueue.slot, IndexedTimerQueue.NEVER);
        slots.set(shardQueue.slot, null);
        freeSlots.add(shardQueue.slot);
    }

    /** Returns the buckets of all rate limits, including those that stand for unseen volumes. */
    List<TokenBucket> limitBuckets() {
        List<TokenBucket> all = new ArrayList<>(defaultLimitBuckets.values());
        for (VolumeState volume : volumes.values()) {
            if (volume.limitBucket != null) {
                all.add(volume.limitBucket);
            }
        }
        return all;
    }

    /** Registers a plan unless it is known; the bucket of its rate limit starts empty. */
    void addPlan(String plan, long now) {
        defaultLimitBuckets.computeIfAbsent(plan, name -> new TokenBucket(name, now));
    }

    /**
     * Returns the rate-limit bucket of a request's volume, created as for an unseen volume if it
     * has none.
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

    /**
     * Returns the bucket that an unseen volume would get now under the same plan and number of
     * initiators.
     */
    TokenBucket newLimitBucketLike(TokenBucket bucket) {
        return new TokenBucket(
                defaultLimitBuckets.get(bucket.plan), bucket.plan, bucket.initiatorCount);
    }

    /** Returns the state of a volume, null if none is kept. */
    VolumeState volume(String name) {
        return volumes.get(name);
    }

    /** Returns the volume of a request that is being admitted, created if there is none. */
    VolumeState volume(Event.RequestReceived received, long now) {
        VolumeState volume = volumes.get(received.volume());
        if (volume == null) {
            volume = new VolumeState(received.volume());
            volumes.put(received.volume(), volume);
            volume.lastCheckedAt = now;
            evictionCandidates.addLast(volume);
        }
        volume.lastUsedAt = now;
        volume.recordPlan(received);
        volume.pendingCount++;
        return volume;
    }

    void evict(VolumeState volume) {
        volumes.remove(volume.name);
    }

    /** Marks a shard for service because a change occurred that may let its requests be sent. */
    void markForService(ShardQueue shardQueue) {
        toServe.add(shardQueue);
    }

    /**
     * Marks a shard for service and all its queued requests for another check, because more than
     * its free slots changed.
     */
    void invalidate(ShardQueue shardQueue) {
        shardQueue.mustRecheckAll = true;
        toServe.add(shardQueue);
    }

    /** Marks the requests of one volume at one shard for another check. */
    void invalidate(FlowQueue flow) {
        flow.shardQueue.unpark(flow);
        toServe.add(flow.shardQueue);
    }

    void invalidate(VolumeState volume) {
        List.copyOf(volume.queuedFlows).forEach(this::invalidate);
    }

    /**
     * Makes a bucket follow the plan of a request, and marks the requests of the volume for another
     * check if that may change their results.
     */
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

    /** Records that the last check of a shard depended on the retry budget. */
    void markRetryBudgetDependent(ShardQueue shardQueue) {
        retryBudgetDependents.add(shardQueue);
    }

    /**
     * Marks the shards that depend on the retry budget for another check after it was exhausted or
     * became available.
     */
    void retryBudgetChanged() {
        retryBudgetDependents.forEach(this::invalidate);
        retryBudgetDependents.clear();
    }

    /** Sets when to serve a shard if nothing causes its service before. */
    void serveAt(ShardQueue shardQueue, long time) {
        serviceTimes.set(shardQueue.slot, time);
    }

    void collectDue(long now) {
        for (int slot : serviceTimes.removeDue(now)) {
            toServe.add(slots.get(slot));
        }
    }

    /**
     * Removes and returns the next shard to serve, in order of creation. A shard that is marked
     * while a later one is being served waits for the next turn.
     *
     * @param after the shard returned before, null for the first
     * @return null if no shard is left
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

    /** Returns the flow of a volume at a shard, created if there is none. */
    FlowQueue flow(ShardQueue shardQueue, VolumeState volume, long now) {
        FlowQueue flow = shardQueue.flows.get(volume);
        if (flow == null) {
            flow = new FlowQueue(nextFlowNumber++, shardQueue, volume);
            flow.extraTag = shardQueue.initialExtraTag;
            shardQueue.flows.put(volume, flow);
            volume.flowCount++;
            flow.lastCheckedAt = now;
            evictionCandidates.addLast(flow);
        }
        flow.lastUsedAt = now;
        return flow;
    }

    /** Adds a request to a flow and updates the shard's orders. */
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

    /** Removes a request from its queue if it is queued. */
    void dequeue(PendingRequest request) {
        if (request.isQueued()) {
            FlowQueue flow = request.flow;
            flow.shardQueue.remove(request, flow);
            flow.shardQueue.updateOrders(flow);
            queuedCount--;
        }
    }

    /**
     * Removes a request from the sequence of its key, and has the next one checked, which may now
     * be sent.
     */
    void removeFromKey(KeySequence sequence, PendingRequest request) {
        sequence.requests.remove(request);
        if (!sequence.requests.isEmpty() && sequence.requests.first().isQueued()) {
            invalidate(sequence.requests.first().flow);
        }
    }
}
