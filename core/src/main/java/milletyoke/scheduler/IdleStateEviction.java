package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Evicts the state of idle volumes, keys, targets and shards, so that memory does not grow with the
 * time in service. Has no clock: the time is a parameter. State is evicted only if its absence
 * makes no difference, or none in favor of an owner that returns:
 *
 * <ul>
 *   <li>a volume: none of its requests is pending, it has no flow, and new token buckets would
 *       contain no more than those it has;
 *   <li>a flow: it is empty, and the virtual time has reached its finish tag, or is advanced to it
 *       because nothing is queued at the shard (start-time fair queueing does so at the end of each
 *       busy period); a flow created later starts with the highest extra tag of those evicted, so
 *       that no volume returns with a lower one;
 *   <li>a key: it has no request, and its quiet period is over;
 *   <li>a target: it has not been usable for long, and no pending request has an attempt in flight
 *       there or one that may have executed there;
 *   <li>a shard: no target is listed for it, nothing is queued, and it has no flow.
 * </ul>
 */
final class IdleStateEviction {
    /** Volumes and targets are kept at least this long after their last use. */
    static final long IDLE_MICROS = 600_000_000;

    /** Interval of the checks of targets and shards. */
    static final long SWEEP_INTERVAL_MICROS = IDLE_MICROS / 10;

    /**
     * Volumes and flows checked per turn, plus those per event of the turn. Bounds the cost of a
     * turn after a long idle time, while eviction keeps up with large turns: an event adds at most
     * two candidates, and each may need two checks.
     */
    private static final int CHECKS_PER_TURN = 8;

    private static final int CHECKS_PER_EVENT = 4;

    private final DispatchQueue dispatchQueue;
    private final TargetTable targets;
    private final Map<String, Integer> targetIndex;
    private final Map<String, KeySequence> keySequences;
    private final Collection<PendingRequest> pendingRequests;

    /** Contents of a token bucket now under its plan. */
    private final ToDoubleFunction<TokenBucket> limitLevel;

    private final ToDoubleFunction<TokenBucket> reservationLevel;
    private final PriorityQueue<KeySequence> emptyKeys =
            new PriorityQueue<>((a, b) -> Long.compare(a.evictionCheckAt, b.evictionCheckAt));
    private long nextSweepAt;

    IdleStateEviction(
            DispatchQueue dispatchQueue,
            TargetTable targets,
            Map<String, Integer> targetIndex,
            Map<String, KeySequence> keySequences,
            Collection<PendingRequest> pendingRequests,
            ToDoubleFunction<TokenBucket> limitLevel,
            ToDoubleFunction<TokenBucket> reservationLevel) {
        this.dispatchQueue = dispatchQueue;
        this.targets = targets;
        this.targetIndex = targetIndex;
        this.keySequences = keySequences;
        this.pendingRequests = pendingRequests;
        this.limitLevel = limitLevel;
        this.reservationLevel = reservationLevel;
    }

    /**
     * Schedules the check of a key whose last request was removed; its quiet period may not be
     * over.
     */
    void scheduleKeyCheck(KeySequence key) {
        if (key.evictionCheckAt == 0) {
            key.evictionCheckAt = Math.max(1, key.quietUntil);
            emptyKeys.add(key);
        }
    }

    /**
     * Evicts the keys that are due. The check time of a queued key stays fixed and is set anew at
     * the check. If it followed a quiet period that is prolonged meanwhile, a key whose requests
     * keep timing out would stay ahead of all others, and none of them would be evicted.
     */
    private void evictKeys(long now) {
        while (!emptyKeys.isEmpty() && emptyKeys.peek().evictionCheckAt <= now) {
            KeySequence key = emptyKeys.poll();
            key.evictionCheckAt = 0;
            if (key.requests.isEmpty() && key.quietUntil <= now) {
                keySequences.remove(key.key, key);
            } else if (key.requests.isEmpty()) {
                scheduleKeyCheck(key);
            }
        }
    }

    /**
     * Evicts idle state, checking a bounded number of candidates.
     *
     * @param now the time of this turn, microseconds
     * @param events the number of events in this turn
     */
    void evictIdle(long now, int events) {
        evictKeys(now);
        evictCandidates(now, CHECKS_PER_TURN + CHECKS_PER_EVENT * events);
        if (now >= nextSweepAt) {
            nextSweepAt = now + SWEEP_INTERVAL_MICROS;
            sweep(now);
        }
    }

    private void evictCandidates(long now, int checks) {
        ArrayDeque<EvictionCandidate> candidates = dispatchQueue.evictionCandidates;
        for (int i = 0; i < checks && !candidates.isEmpty(); i++) {
            if (candidates.peekFirst().nextCheckAt(IDLE_MICROS) > now) {
                return;
            }
            EvictionCandidate oldest = candidates.pollFirst();
            if (!evictIfIdle(oldest, now)) {
                oldest.lastCheckedAt = now;
                candidates.addLast(oldest);
            }
        }
    }

    private boolean evictIfIdle(EvictionCandidate candidate, long now) {
        if (candidate.lastUsedAt + IDLE_MICROS > now) {
            return false;
        }
        return candidate instanceof VolumeState volume
                ? evictIfIdle(volume)
                : evictIfIdle((FlowQueue) candidate);
    }

    private boolean evictIfIdle(VolumeState volume) {
        boolean isIdle =
                volume.pendingCount == 0 && volume.flowCount == 0 && !wouldGainTokens(volume);
        if (isIdle) {
            dispatchQueue.evict(volume);
        }
        return isIdle;
    }

    /** Returns whether new token buckets would contain more than those of the volume. */
    private boolean wouldGainTokens(VolumeState volume) {
        TokenBucket limit = volume.limitBucket;
        if (limit != null
                && containsLess(limitLevel, limit, dispatchQueue.newLimitBucketLike(limit))) {
            return true;
        }
        TokenBucket reservation = volume.reservationBucket;
        return reservation != null
                && containsLess(reservationLevel, reservation, new TokenBucket(reservation));
    }

    private static boolean containsLess(
            ToDoubleFunction<TokenBucket> level, TokenBucket kept, TokenBucket fresh) {
        return level.applyAsDouble(kept) < level.applyAsDouble(fresh);
    }

    private boolean evictIfIdle(FlowQueue flow) {
        ShardQueue shardQueue = flow.shardQueue;
        boolean isShardIdle = shardQueue.queuedCount == 0;
        boolean isBehindOthers =
                flow.finishTag <= shardQueue.virtualTime
                        && !isShardIdle
                        && flow.extraTag <= shardQueue.byExtraTag.first().extraTag;
        if (!flow.requests.isEmpty() || !(isShardIdle || isBehindOthers)) {
            return false;
        }
        shardQueue.virtualTime = Math.max(shardQueue.virtualTime, flow.finishTag);
        shardQueue.initialExtraTag = Math.max(shardQueue.initialExtraTag, flow.extraTag);
        shardQueue.flows.remove(flow.volume);
        flow.volume.flowCount--;
        return true;
    }

    private void sweep(long now) {
        BitSet neededTargets = new BitSet(targets.count);
        Set<ShardQueue> neededShards = new HashSet<>();
        for (PendingRequest request : pendingRequests) {
            if (request.inFlightTarget >= 0) {
                neededTargets.set(request.inFlightTarget);
            }
            if (request.executedOn >= 0) {
                neededTargets.set(request.executedOn);
            }
            neededShards.add(request.shardQueue);
        }
        for (int target = 0; target < targets.count; target++) {
            sweepTarget(target, neededTargets.get(target), now);
        }
        for (ShardQueue shardQueue : List.copyOf(dispatchQueue.shardQueues())) {
            if (isEmpty(shardQueue) && !neededShards.contains(shardQueue)) {
                dispatchQueue.evict(shardQueue);
            }
        }
    }

    private void sweepTarget(int target, boolean isNeeded, long now) {
        if (targets.id[target] == null
                || targets.usable[target]
                || isNeeded
                || targets.lastUsableAt[target] == 0) {
            targets.lastUsableAt[target] = now;
        }
        if (now - targets.lastUsableAt[target] >= IDLE_MICROS) {
            targetIndex.remove(targets.id[target]);
            dispatchQueue.shardQueue(targets.shardOf[target]).listedTargets.remove(target);
            targets.remove(target);
        }
    }

    private static boolean isEmpty(ShardQueue shardQueue) {
        return shardQueue.queuedCount == 0
                && shardQueue.listedTargets.isEmpty()
                && shardQueue.flows.isEmpty();
    }
}
