package milletyoke.scheduler;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Lets go of what volumes, keys, targets and shards leave behind, so that years of service need no
 * more memory than what is in use does. Without a clock: it is told the time. Each kind goes only
 * once its absence says the same, or less in favour of whoever returns:
 *
 * <ul>
 *   <li>a volume: no access of it is held, no node has a reservation of it, and a store opened anew
 *       would hold no more than those it has;
 *   <li>a reservation: its queue is empty, and the virtual time is at its finish tag, or is brought
 *       there while nobody waits at the node (start-time fair queueing does so at the end of each
 *       busy time); one made later starts with the highest extra tag of those let go here, so
 *       nobody comes back with a lower one;
 *   <li>a key: nobody waits for it and its rest is over;
 *   <li>a target: not usable for long, and no access held has a relay out there or one that may
 *       have run there;
 *   <li>a shard: nobody holds it, waits for it, or has a reservation there.
 * </ul>
 */
final class IdleStateEviction {
    /** Volumes and targets are kept at least this long after their last use (microseconds). */
    static final long IDLE_MICROS = 600_000_000;

    /** Between looks at targets and shards. */
    static final long SWEEP_INTERVAL_MICROS = IDLE_MICROS / 10;

    /**
     * So many volumes and reservations are looked at in a turn, and for each event of it: no turn
     * pays for what a quiet hour left, and what large turns bring goes as fast as it comes (an
     * event makes two at most, and each may need two looks).
     */
    private static final int CHECKS_PER_TURN = 8, CHECKS_PER_EVENT = 4;

    private final DispatchQueue dispatchQueue;
    private final TargetTable targets;
    private final Map<String, Integer> indexOf;
    private final Map<String, KeySequence> keySequences;
    private final Collection<PendingRequest> pendingRequests;

    /** What stores hold now, by the plans that fill them. */
    private final ToDoubleFunction<TokenBucket> limitLevel;

    private final ToDoubleFunction<TokenBucket> reservationLevel;
    private final PriorityQueue<KeySequence> emptyKeys =
            new PriorityQueue<>((a, b) -> Long.compare(a.evictionCheckAt, b.evictionCheckAt));
    private long nextSweepAt;

    IdleStateEviction(
            DispatchQueue agenda,
            TargetTable targets,
            Map<String, Integer> indexOf,
            Map<String, KeySequence> turns,
            Collection<PendingRequest> held,
            ToDoubleFunction<TokenBucket> limits,
            ToDoubleFunction<TokenBucket> reserves) {
        this.dispatchQueue = agenda;
        this.targets = targets;
        this.indexOf = indexOf;
        this.keySequences = turns;
        this.pendingRequests = held;
        this.limitLevel = limits;
        this.reservationLevel = reserves;
    }

    /** The last access of a key left; the key may still rest. */
    void scheduleKeyCheck(KeySequence key) {
        if (key.evictionCheckAt == 0) {
            key.evictionCheckAt = Math.max(1, key.quietUntil);
            emptyKeys.add(key);
        }
    }

    /**
     * Guards the order of looks against a rest that is made longer meanwhile: its key would stand
     * before others for as long as it keeps timing out, and none of them would go. So the time of a
     * look stays as it was set, and is set anew then.
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
     * @param events of this turn
     */
    void evictIdle(long now, int events) {
        evictKeys(now);
        int looks = CHECKS_PER_TURN + CHECKS_PER_EVENT * events;
        for (int i = 0;
                i < looks
                        && !dispatchQueue.evictionCandidates.isEmpty()
                        && dispatchQueue.evictionCandidates.peekFirst().nextCheckAt(IDLE_MICROS)
                                <= now;
                i++) {
            EvictionCandidate oldest = dispatchQueue.evictionCandidates.pollFirst();
            boolean gone =
                    oldest.lastUsedAt + IDLE_MICROS <= now
                            && (oldest instanceof VolumeState volume
                                    ? evictIfIdle(volume)
                                    : evictIfIdle((FlowQueue) oldest));
            if (!gone) {
                oldest.lastCheckedAt = now;
                dispatchQueue.evictionCandidates.addLast(oldest);
            }
        }
        if (now >= nextSweepAt) {
            nextSweepAt = now + SWEEP_INTERVAL_MICROS;
            sweep(now);
        }
    }

    private boolean evictIfIdle(VolumeState volume) {
        boolean gains =
                volume.limitBucket != null
                                && holdsLess(
                                        limitLevel,
                                        volume.limitBucket,
                                        dispatchQueue.newLimitBucketLike(volume.limitBucket))
                        || volume.reservationBucket != null
                                && holdsLess(
                                        reservationLevel,
                                        volume.reservationBucket,
                                        new TokenBucket(volume.reservationBucket));
        boolean gone = volume.pendingCount == 0 && volume.flowCount == 0 && !gains;
        if (gone) {
            dispatchQueue.evict(volume);
        }
        return gone;
    }

    private static boolean holdsLess(
            ToDoubleFunction<TokenBucket> holds, TokenBucket kept, TokenBucket opened) {
        return holds.applyAsDouble(kept) < holds.applyAsDouble(opened);
    }

    private boolean evictIfIdle(FlowQueue flow) {
        ShardQueue shardQueue = flow.shardQueue;
        boolean quiet = shardQueue.queuedCount == 0;
        boolean behind =
                flow.finishTag <= shardQueue.virtualTime
                        && !quiet
                        && flow.extraTag <= shardQueue.byExtraTag.first().extraTag;
        if (!flow.requests.isEmpty() || !quiet && !behind) {
            return false;
        }
        shardQueue.virtualTime = Math.max(shardQueue.virtualTime, flow.finishTag);
        shardQueue.initialExtraTag = Math.max(shardQueue.initialExtraTag, flow.extraTag);
        shardQueue.flows.remove(flow.volume);
        flow.volume.flowCount--;
        return true;
    }

    private void sweep(long now) {
        BitSet needed = new BitSet(targets.count);
        Set<ShardQueue> nodesNeeded = new HashSet<>();
        for (PendingRequest request : pendingRequests) {
            if (request.inFlightTarget >= 0) {
                needed.set(request.inFlightTarget);
            }
            if (request.executedOn >= 0) {
                needed.set(request.executedOn);
            }
            nodesNeeded.add(request.shardQueue);
        }
        for (int t = 0; t < targets.count; t++) {
            boolean kept =
                    targets.id[t] == null
                            || targets.usable[t]
                            || needed.get(t)
                            || targets.lastUsableAt[t] == 0;
            targets.lastUsableAt[t] = kept ? now : targets.lastUsableAt[t];
            if (now - targets.lastUsableAt[t] >= IDLE_MICROS) {
                indexOf.remove(targets.id[t]);
                dispatchQueue.shardQueue(targets.shardOf[t]).listedTargets.remove(t);
                targets.remove(t);
            }
        }
        for (ShardQueue shardQueue : List.copyOf(dispatchQueue.shardQueues())) {
            if (shardQueue.queuedCount == 0
                    && shardQueue.listedTargets.isEmpty()
                    && shardQueue.flows.isEmpty()
                    && !nodesNeeded.contains(shardQueue)) {
                dispatchQueue.evict(shardQueue);
            }
        }
    }
}
