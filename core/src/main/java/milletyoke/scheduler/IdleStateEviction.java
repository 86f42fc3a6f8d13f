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
    static final long AFTER = 600_000_000;

    /** Between looks at targets and shards. */
    static final long SWEEP = AFTER / 10;

    /**
     * So many volumes and reservations are looked at in a turn, and for each event of it: no turn
     * pays for what a quiet hour left, and what large turns bring goes as fast as it comes (an
     * event makes two at most, and each may need two looks).
     */
    private static final int A_TURN = 8, AN_EVENT = 4;

    private final DispatchQueue agenda;
    private final TargetTable targets;
    private final Map<String, Integer> indexOf;
    private final Map<String, KeySequence> turns;
    private final Collection<PendingRequest> held;

    /** What stores hold now, by the plans that fill them. */
    private final ToDoubleFunction<TokenBucket> limits;

    private final ToDoubleFunction<TokenBucket> reserves;
    private final PriorityQueue<KeySequence> resting =
            new PriorityQueue<>((a, b) -> Long.compare(a.lookAt, b.lookAt));
    private long sweepAt;

    IdleStateEviction(
            DispatchQueue agenda,
            TargetTable targets,
            Map<String, Integer> indexOf,
            Map<String, KeySequence> turns,
            Collection<PendingRequest> held,
            ToDoubleFunction<TokenBucket> limits,
            ToDoubleFunction<TokenBucket> reserves) {
        this.agenda = agenda;
        this.targets = targets;
        this.indexOf = indexOf;
        this.turns = turns;
        this.held = held;
        this.limits = limits;
        this.reserves = reserves;
    }

    /** The last access of a key left; the key may still rest. */
    void left(KeySequence key) {
        if (key.lookAt == 0) {
            key.lookAt = Math.max(1, key.restUntil);
            resting.add(key);
        }
    }

    /**
     * Guards the order of looks against a rest that is made longer meanwhile: its key would stand
     * before others for as long as it keeps timing out, and none of them would go. So the time of a
     * look stays as it was set, and is set anew then.
     */
    private void lookAtKeys(long now) {
        while (!resting.isEmpty() && resting.peek().lookAt <= now) {
            KeySequence key = resting.poll();
            key.lookAt = 0;
            if (key.order.isEmpty() && key.restUntil <= now) {
                turns.remove(key.extent, key);
            } else if (key.order.isEmpty()) {
                left(key);
            }
        }
    }

    /**
     * @param events of this turn
     */
    void turn(long now, int events) {
        lookAtKeys(now);
        int looks = A_TURN + AN_EVENT * events;
        for (int i = 0;
                i < looks && !agenda.kept.isEmpty() && agenda.kept.peekFirst().lookAt(AFTER) <= now;
                i++) {
            EvictionCandidate oldest = agenda.kept.pollFirst();
            boolean gone =
                    oldest.usedAt + AFTER <= now
                            && (oldest instanceof VolumeState v
                                    ? forgets(v)
                                    : forgets((FlowQueue) oldest));
            if (!gone) {
                oldest.lookedAt = now;
                agenda.kept.addLast(oldest);
            }
        }
        if (now >= sweepAt) {
            sweepAt = now + SWEEP;
            sweep(now);
        }
    }

    private boolean forgets(VolumeState v) {
        boolean gains =
                v.limit != null && holdsLess(limits, v.limit, agenda.opened(v.limit))
                        || v.reserve != null
                                && holdsLess(reserves, v.reserve, new TokenBucket(v.reserve));
        boolean gone = v.held == 0 && v.reservations == 0 && !gains;
        if (gone) {
            agenda.forget(v);
        }
        return gone;
    }

    private static boolean holdsLess(
            ToDoubleFunction<TokenBucket> holds, TokenBucket kept, TokenBucket opened) {
        return holds.applyAsDouble(kept) < holds.applyAsDouble(opened);
    }

    private boolean forgets(FlowQueue r) {
        ShardQueue node = r.node;
        boolean quiet = node.waiting == 0;
        boolean behind =
                r.finish <= node.virtualTime && !quiet && r.extra <= node.byExtra.first().extra;
        if (!r.queue.isEmpty() || !quiet && !behind) {
            return false;
        }
        node.virtualTime = Math.max(node.virtualTime, r.finish);
        node.firstExtra = Math.max(node.firstExtra, r.extra);
        node.reservations.remove(r.volume);
        r.volume.reservations--;
        return true;
    }

    private void sweep(long now) {
        BitSet needed = new BitSet(targets.count);
        Set<ShardQueue> nodesNeeded = new HashSet<>();
        for (PendingRequest h : held) {
            if (h.outAt >= 0) {
                needed.set(h.outAt);
            }
            if (h.ranAt >= 0) {
                needed.set(h.ranAt);
            }
            nodesNeeded.add(h.node);
        }
        for (int t = 0; t < targets.count; t++) {
            boolean kept =
                    targets.id[t] == null
                            || targets.usable[t]
                            || needed.get(t)
                            || targets.usableAt[t] == 0;
            targets.usableAt[t] = kept ? now : targets.usableAt[t];
            if (now - targets.usableAt[t] >= AFTER) {
                indexOf.remove(targets.id[t]);
                agenda.node(targets.shardOf[t]).listed.remove(t);
                targets.free(t);
            }
        }
        for (ShardQueue n : List.copyOf(agenda.nodes())) {
            if (n.waiting == 0
                    && n.listed.isEmpty()
                    && n.reservations.isEmpty()
                    && !nodesNeeded.contains(n)) {
                agenda.forget(n);
            }
        }
    }
}
