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
 * The nodes, and which of them are to be served in this turn: those where something happened, and
 * those whose time has come. What need not be served costs nothing. Decides nothing: a node that is
 * served for no reason does nothing.
 */
final class DispatchQueue {
    private final Map<Integer, ShardQueue> nodes = new LinkedHashMap<>();
    private final Map<String, VolumeState> volumes = new LinkedHashMap<>();

    /**
     * A limit's store of each plan, as it is for a volume that was not seen or was forgotten, were
     * there one host.
     */
    private final Map<String, TokenBucket> defaultLimitBuckets = new LinkedHashMap<>();

    /** Nodes by slot, null where one was forgotten; and the slots that are free. */
    private final List<ShardQueue> slots = new ArrayList<>();

    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();

    /** Volumes and reservations, those that were longest not looked at first. */
    final ArrayDeque<EvictionCandidate> kept = new ArrayDeque<>();

    private int made;
    private final TreeSet<ShardQueue> touched = new TreeSet<>(Comparator.comparingInt(n -> n.made));
    private final IndexedTimerQueue serviceTimes = new IndexedTimerQueue();
    private final Set<ShardQueue> forBudget = new LinkedHashSet<>();
    private long reservationsMade;
    private long queued;

    /** Accesses that wait, at all nodes. */
    int waiting;

    /** All, in the order of making. */
    Collection<ShardQueue> nodes() {
        return nodes.values();
    }

    /** Slots that a lot is drawn over. */
    int places() {
        return slots.size();
    }

    /**
     * One node, all with equal odds; null where the lot fell on a slot whose node was forgotten.
     */
    ShardQueue lot(SplittableRandom chance) {
        return slots.get(chance.nextInt(slots.size()));
    }

    Map<Integer, ShardQueue> byShard() {
        return nodes;
    }

    ShardQueue node(int shard) {
        ShardQueue known = nodes.get(shard);
        if (known == null) {
            int slot = freeSlots.isEmpty() ? slots.size() : freeSlots.poll();
            known = new ShardQueue(made++, slot, shard);
            if (slot == slots.size()) {
                slots.add(known);
            }
            slots.set(slot, known);
            nodes.put(shard, known);
        }
        return known;
    }

    void forget(ShardQueue node) {
        nodes.remove(node.shard);
        touched.remove(node);
        forBudget.remove(node);
        serviceTimes.set(node.slot, IndexedTimerQueue.NEVER);
        slots.set(node.slot, null);
        freeSlots.add(node.slot);
    }

    /** The stores of all limits, those that stand for volumes not seen among them. */
    List<TokenBucket> limits() {
        List<TokenBucket> all = new ArrayList<>(defaultLimitBuckets.values());
        for (VolumeState v : volumes.values()) {
            if (v.limit != null) {
                all.add(v.limit);
            }
        }
        return all;
    }

    /** A plan is known from now on, at the latest: what it limits starts empty. */
    void unseen(String plan, long now) {
        defaultLimitBuckets.computeIfAbsent(plan, p -> new TokenBucket(p, now));
    }

    /** The store of a volume's limit; one as for a volume not seen before where there is none. */
    TokenBucket limit(PendingRequest h) {
        VolumeState v = h.volume;
        if (v.limit == null) {
            v.limit =
                    new TokenBucket(
                            defaultLimitBuckets.get(h.access.plan()), h.access.plan(), h.hosts());
        }
        return v.limit;
    }

    /** A store as it would be opened now for the same plan, and among as many hosts. */
    TokenBucket opened(TokenBucket like) {
        return new TokenBucket(defaultLimitBuckets.get(like.plan), like.plan, like.hosts);
    }

    /** What is kept of a volume, null where nothing is. */
    VolumeState volume(String name) {
        return volumes.get(name);
    }

    /** The volume of an access that is taken now; a new one where it is not known. */
    VolumeState volume(Event.RequestReceived access, long now) {
        VolumeState known = volumes.get(access.volume());
        if (known == null) {
            known = new VolumeState(access.volume());
            volumes.put(access.volume(), known);
            known.lookedAt = now;
            kept.addLast(known);
        }
        known.usedAt = now;
        known.asks(access);
        known.held++;
        return known;
    }

    void forget(VolumeState volume) {
        volumes.remove(volume.name);
    }

    /** Something changed that may let accesses leave here. */
    void touch(ShardQueue node) {
        touched.add(node);
    }

    /**
     * The same, for more than room: what was found of any access that waits here may be otherwise.
     */
    void upset(ShardQueue node) {
        node.changed = true;
        touched.add(node);
    }

    /** The same, for the accesses of one volume here. */
    void upset(FlowQueue r) {
        r.node.unpark(r);
        touched.add(r.node);
    }

    void upset(VolumeState volume) {
        List.copyOf(volume.waiting).forEach(this::upset);
    }

    void upsetAll() {
        nodes.values().forEach(this::upset);
    }

    /** What was found here rests on the relay budget. */
    void restsOnBudget(ShardQueue node) {
        forBudget.add(node);
    }

    /** There is a relay budget left again, or none any more. */
    void budgetTurned() {
        forBudget.forEach(this::upset);
        forBudget.clear();
    }

    /** Serve this node at that time too, if nothing happens before. */
    void due(ShardQueue node, long time) {
        serviceTimes.set(node.slot, time);
    }

    void come(long now) {
        for (int n : serviceTimes.due(now)) {
            touched.add(slots.get(n));
        }
    }

    /**
     * Takes out the next node to serve, in the order of making, null for none. One that is touched
     * while a later one is served has its turn at the next call.
     *
     * @param after the one before, null for the first
     */
    ShardQueue next(ShardQueue after) {
        ShardQueue next =
                after == null
                        ? (touched.isEmpty() ? null : touched.first())
                        : touched.higher(after);
        while (next != null && touched.remove(next) && next.waiting == 0) {
            next = touched.higher(next);
        }
        return next;
    }

    /** The volume's reservation queue at the node; a new one where there is none. */
    FlowQueue reservation(ShardQueue node, VolumeState volume, long now) {
        FlowQueue known = node.reservations.get(volume);
        if (known == null) {
            known = new FlowQueue(reservationsMade++, node, volume);
            known.extra = node.firstExtra;
            node.reservations.put(volume, known);
            volume.reservations++;
            known.lookedAt = now;
            kept.addLast(known);
        }
        known.usedAt = now;
        return known;
    }

    /** Puts an access into its queue, and the reservation where its tags then have it. */
    void queue(PendingRequest h, FlowQueue r) {
        if (r.weight != h.weight()) {
            r.node.unfile(r);
            r.weight = h.weight();
        }
        h.queued = queued++;
        h.reservation = r;
        r.node.queue(h, r);
        r.node.refile(r);
        waiting++;
        touched.add(r.node);
    }

    /** Takes an access out of the queue it waits in, if it waits. */
    void unqueue(PendingRequest h) {
        if (h.waits()) {
            FlowQueue r = h.reservation;
            r.node.unqueue(h, r);
            r.node.refile(r);
            waiting--;
        }
    }

    /** An access gives up its place among those of its key; the next one may have its turn. */
    void leave(KeySequence turns, PendingRequest h) {
        turns.order.remove(h);
        if (!turns.order.isEmpty() && turns.order.first().waits()) {
            upset(turns.order.first().reservation);
        }
    }
}
