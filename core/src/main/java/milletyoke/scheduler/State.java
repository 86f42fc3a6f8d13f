package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** What the module keeps, as plain data. */
final class State {
    private State() {}

    /**
     * Figures about targets, in parallel arrays under a dense index that lasts one life of the
     * initiator.
     */
    static final class Targets {
        int count;
        String[] id = {};
        String[] zone = {};
        int[] shardOf = {};
        boolean[] usable = {};
        long[] launched = {};

        /** Relays out; those of an earlier life, or presumed lost, are not counted. */
        int[] out = {};

        int[] life = {};
        double[] window = {};

        /** The usual lag of an answer. */
        double[] lag = {};

        /** What the latest answer took. */
        long[] took = {};

        long[] heardAt = {};

        /** When the latest answered relay was sent, and when the window was last halved. */
        long[] answeredSent = {};

        long[] halvedAt = {};

        /**
         * When a silent target is tried again, 0 for one that is not silent; and whether one access
         * may try now.
         */
        long[] nextTrial = {};

        boolean[] mayTry = {};

        /** When a probe left that has no answer yet, 0 for none. */
        long[] askedAt = {};

        /**
         * The waiting that was told of, until when that holds, the draw made with it, and how long
         * a rest is now.
         */
        double[] crowd = {};

        long[] toldUntil = {};
        double[] bar = {};
        long[] rest = {};
        final List<ArrayDeque<Spent>> coldSpent = new ArrayList<>();

        /** When it was last found usable, or needed; 0 where nobody has looked yet. */
        long[] usableAt = {};

        /** Indexes whose target was forgotten. */
        private final ArrayDeque<Integer> free = new ArrayDeque<>();

        /** Accesses whose relay is out there and not presumed lost, in the order of sending. */
        final List<ArrayList<Held>> outs = new ArrayList<>();

        /**
         * When what is owed there is to be looked at again: no later than it can be silent or lost.
         */
        final IndexedTimerQueue due = new IndexedTimerQueue();

        int add(String name) {
            if (!free.isEmpty()) {
                int reused = free.poll();
                id[reused] = name;
                return reused;
            }
            int t = count++;
            if (count > id.length) {
                grow(Math.max(16, 2 * id.length));
            }
            coldSpent.add(new ArrayDeque<>());
            outs.add(new ArrayList<>());
            id[t] = name;
            return t;
        }

        private void grow(int count) {
            usableAt = Arrays.copyOf(usableAt, count);
            id = Arrays.copyOf(id, count);
            zone = Arrays.copyOf(zone, count);
            shardOf = Arrays.copyOf(shardOf, count);
            usable = Arrays.copyOf(usable, count);
            launched = Arrays.copyOf(launched, count);
            out = Arrays.copyOf(out, count);
            life = Arrays.copyOf(life, count);
            window = Arrays.copyOf(window, count);
            lag = Arrays.copyOf(lag, count);
            took = Arrays.copyOf(took, count);
            heardAt = Arrays.copyOf(heardAt, count);
            answeredSent = Arrays.copyOf(answeredSent, count);
            halvedAt = Arrays.copyOf(halvedAt, count);
            nextTrial = Arrays.copyOf(nextTrial, count);
            mayTry = Arrays.copyOf(mayTry, count);
            askedAt = Arrays.copyOf(askedAt, count);
            crowd = Arrays.copyOf(crowd, count);
            toldUntil = Arrays.copyOf(toldUntil, count);
            rest = Arrays.copyOf(rest, count);
            bar = Arrays.copyOf(bar, count);
        }

        /** Forgets a target: its index is as if never used, and may be used again. */
        void free(int t) {
            id[t] = null;
            zone[t] = null;
            shardOf[t] = 0;
            usable[t] = false;
            launched[t] = 0;
            out[t] = 0;
            life[t] = 0;
            window[t] = 0;
            lag[t] = 0;
            took[t] = 0;
            heardAt[t] = 0;
            answeredSent[t] = 0;
            halvedAt[t] = 0;
            nextTrial[t] = 0;
            mayTry[t] = false;
            askedAt[t] = 0;
            crowd[t] = 0;
            toldUntil[t] = 0;
            bar[t] = 0;
            rest[t] = 0;
            usableAt[t] = 0;
            coldSpent.get(t).clear();
            outs.get(t).clear();
            due.set(t, IndexedTimerQueue.NEVER);
            free.add(t);
        }

        void relist(int t, Event.Target target) {
            zone[t] = String.valueOf(target.zone());
            shardOf[t] = target.shard();
        }

        /** A new life of the target: nothing is known of it, and nothing out. */
        void renew(int t, double firstWindow) {
            window[t] = firstWindow;
            out[t] = 0;
            life[t]++;
            lag[t] = 0;
            nextTrial[t] = 0;
            toldUntil[t] = 0;
        }

        /** Units sent to a cold target after that time; what was before is dropped. */
        double spentAfter(int t, long since) {
            double units = 0;
            coldSpent.get(t).removeIf(s -> s.at() <= since);
            for (Spent s : coldSpent.get(t)) {
                units += s.units();
            }
            return units;
        }

        /** When the first of those was sent; far off where there is none. */
        long firstSpent(int t) {
            return coldSpent.get(t).isEmpty()
                    ? IndexedTimerQueue.NEVER / 2
                    : coldSpent.get(t).peekFirst().at();
        }
    }

    /**
     * A bound kept somewhat above a figure that moves, so that times reckoned with the bound come
     * no later than those reckoned with the figure. It goes down at once a second at most and never
     * up unnoticed. Guards against times that rest on a bound since passed: one that went up
     * quietly left accesses waiting past their agreed time for milliseconds.
     */
    static final class Ceiling {
        private static final double ABOVE = 1.25;
        private static final long LOWER_EVERY = 1_000_000;
        double most;
        private long lowerAt;

        /**
         * Whether the figure is above; the bound is then raised, and what rests on it is to be
         * looked at again.
         */
        boolean outgrownBy(double figure, long now) {
            boolean outgrown = figure > most;
            if (outgrown || now >= lowerAt) {
                most = outgrown ? ABOVE * figure : Math.min(most, ABOVE * figure);
                lowerAt = now + LOWER_EVERY;
            }
            return outgrown;
        }
    }

    /** When something happened, as far back as is asked. */
    static final class Span {
        private final ArrayDeque<Long> times = new ArrayDeque<>();

        void add(long time, long since) {
            after(since);
            times.addLast(time);
        }

        /** How often after that time; what was before is dropped. */
        int after(long since) {
            while (!times.isEmpty() && times.peekFirst() <= since) {
                times.removeFirst();
            }
            return times.size();
        }
    }

    /** One access from taking to its final answer, and on until its last relay has an outcome. */
    static final class Held {
        static final Comparator<Held> BY_TAKING = (a, b) -> Long.compare(a.taken, b.taken);

        /**
         * Inside one volume importance goes first, then the newest; then who came to the queue
         * first.
         */
        static final Comparator<Held> INSIDE =
                (a, b) -> {
                    int byImportance =
                            Double.compare(
                                    b.category.priorityWeight(), a.category.priorityWeight());
                    int byAge =
                            byImportance != 0
                                    ? byImportance
                                    : Long.compare(b.firstTaken, a.firstTaken);
                    return byAge != 0 ? byAge : Long.compare(a.queued, b.queued);
                };

        /** At one node: by the order in which reservations were made, then as inside a volume. */
        static final Comparator<Held> AT_NODE =
                (a, b) -> {
                    int byVolume = Long.compare(a.reservation.made, b.reservation.made);
                    return byVolume != 0 ? byVolume : INSIDE.compare(a, b);
                };

        static final Comparator<Held> BY_AGREED =
                (a, b) -> {
                    int byTime = Long.compare(a.agreedAt, b.agreedAt);
                    return byTime != 0 ? byTime : Long.compare(a.queued, b.queued);
                };

        final Event.RequestReceived access;

        /**
         * Its place in the order of taking, and among all that came to a queue, the latest time it
         * did.
         */
        final long taken;

        long queued;
        final RequestClass category;
        final Volume volume;
        ServicePlan plan;
        Node node;

        /** Where it waits or last waited; null before. */
        Reservation reservation;

        long firstTaken;
        long agreedAt;
        long abandonAt;

        /**
         * When, to which target and in which life of it the latest relay left; -1 once that has its
         * outcome.
         */
        long sentAt;

        int outAt = -1;
        int outLife;
        int relays;

        /**
         * The target of the first relay that may have run, -1 while there is none, and when that
         * relay left.
         */
        int ranAt = -1;

        long ranSince;
        boolean answered;

        /** Its relay is out, and presumed lost. */
        boolean lost;

        Held(
                Event.RequestReceived access,
                long taken,
                RequestClass category,
                Volume volume,
                ServicePlan plan) {
            this.access = access;
            this.taken = taken;
            this.category = category;
            this.volume = volume;
            this.plan = plan;
        }

        boolean hasLimit() {
            return plan != null && plan.limitRate() > 0;
        }

        /** Through how many hosts its volume comes; each keeps its part of what is limited. */
        double hosts() {
            return Math.max(1, access.initiatorCount());
        }

        /** This host's part of its volume's limit, units a second. */
        double limitRate() {
            return plan.limitRate() / hosts();
        }

        double reserve() {
            return plan == null ? 0 : plan.reservationRate();
        }

        double weight() {
            return plan == null || plan.weight() <= 0 ? 1 : plan.weight();
        }

        boolean waits() {
            return reservation != null && reservation.queue.contains(this);
        }
    }

    /** What is kept for when its owner returns. */
    abstract static class Kept {
        /** When it was last used, and last looked at by who forgets. */
        long usedAt;

        long lookedAt;

        long lookAt(long after) {
            return lookedAt + after;
        }
    }

    /** What is kept of one volume, whichever nodes it goes to. */
    static final class Volume extends Kept {
        /**
         * Accesses held, and reservations at nodes: these are found by it, so it goes after them.
         */
        int held;

        int reservations;
        final String name;

        /** Its stores, null before they are first used. */
        Store limit;

        Store reserve;

        /**
         * With which plan, and through how many hosts, it was last asked for; and whether that ever
         * changed.
         */
        private String plan;

        private int hosts;
        boolean mixed;

        /** Its reservations that wait, the earlier made first. */
        final TreeSet<Reservation> waiting = new TreeSet<>(Reservation.BY_MAKING);

        Volume(String name) {
            this.name = name;
        }

        Store reserveFor(Event.RequestReceived access) {
            if (reserve == null) {
                reserve = new Store(access.plan(), 0);
            }
            return reserve;
        }

        void asks(Event.RequestReceived access) {
            mixed |=
                    plan != null
                            && (!plan.equals(access.plan()) || hosts != access.initiatorCount());
            plan = access.plan();
            hosts = access.initiatorCount();
        }
    }

    /** The node that holds one shard, whichever target that is now; -1 for none. */
    static final class Node {
        /** Its place in the order of making. */
        final int made;

        final int slot;
        final int shard;

        /** The extra tag that a reservation starts with: the highest of those forgotten here. */
        double firstExtra;

        int target = -1;
        int waiting;
        double virtualTime;
        final Map<Volume, Reservation> reservations = new HashMap<>();

        /**
         * Targets that the list last named for this shard, usable or not, in the order of their
         * index.
         */
        final TreeSet<Integer> listed = new TreeSet<>();

        /** Reservations that wait, by extra tag; and how many of each weight. */
        final TreeSet<Reservation> byExtra = new TreeSet<>(Reservation.BY_EXTRA);

        private final TreeMap<Double, Integer> weights = new TreeMap<>();

        /**
         * Those that may have an access to send, by finish tag; and those that may be owed, too.
         */
        final TreeSet<Reservation> ready = new TreeSet<>(Reservation.BY_FINISH);

        final TreeSet<Reservation> owed = new TreeSet<>(Reservation.BY_FINISH);

        /**
         * Those not in both of these that time alone may bring back, by when to look at them again.
         */
        final TreeSet<Reservation> parked = new TreeSet<>(Reservation.BY_LOOK);

        /**
         * More than one volume's own affairs may have changed here since what is parked was parked.
         */
        boolean changed;

        /** Accesses that wait here, by agreed time, and by extent where they may join others. */
        final TreeSet<Held> byAgreed = new TreeSet<>(Held.BY_AGREED);

        final Map<String, TreeSet<Held>> byExtent = new HashMap<>();

        Node(int made, int slot, int shard) {
            this.made = made;
            this.slot = slot;
            this.shard = shard;
        }

        /** Takes a reservation out of every order, so that its tags and queue may change. */
        void unfile(Reservation r) {
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
        void file(Reservation r) {
            if (!r.queue.isEmpty()) {
                r.filed = true;
                byExtra.add(r);
                weights.merge(r.weight, 1, Integer::sum);
                look(r);
                r.volume.waiting.add(r);
            }
        }

        /**
         * After its queue or its start tag changed: files it under the finish tag it then has, or
         * out of every order where nobody waits. What did not change keeps its place; it is to be
         * looked at in any case.
         */
        void refile(Reservation r) {
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

        private void look(Reservation r) {
            if (!r.isReady) {
                r.isReady = true;
                ready.add(r);
            }
            if (!r.isOwed) {
                r.isOwed = true;
                owed.add(r);
            }
        }

        private void unready(Reservation r) {
            if (r.isReady) {
                r.isReady = false;
                ready.remove(r);
            }
        }

        private void unowed(Reservation r) {
            if (r.isOwed) {
                r.isOwed = false;
                owed.remove(r);
            }
        }

        private void unparked(Reservation r) {
            if (r.isParked) {
                r.isParked = false;
                parked.remove(r);
            }
        }

        /** Has a reservation that waits looked at, whatever was found before. */
        void unpark(Reservation r) {
            if (r.filed) {
                unparked(r);
                look(r);
            }
        }

        /** Weights and finish tags of those that wait follow their plans. */
        void reweigh() {
            for (Reservation r : List.copyOf(byExtra)) {
                unfile(r);
                r.weight = r.queue.first().weight();
                r.retag();
                file(r);
            }
        }

        /**
         * Those whose agreed time is before {@code time}, in the order of reservations and inside
         * them.
         */
        List<Held> lateBy(double time) {
            List<Held> late = new ArrayList<>();
            for (Held h : byAgreed) {
                if (time <= h.agreedAt) {
                    break;
                }
                late.add(h);
            }
            late.sort(Held.AT_NODE);
            return late;
        }

        /** Not to be looked at as ready, or only not as owed, before {@code again}. */
        void park(Reservation r, boolean ready, long again) {
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

        /**
         * The widest gap between extra tags of those that wait, with one of them a step further.
         */
        double gap(Reservation one, double step) {
            double own = one.extra + step;
            Reservation low = byExtra.first() == one ? byExtra.higher(one) : byExtra.first();
            Reservation high = byExtra.last() == one ? byExtra.lower(one) : byExtra.last();
            return Math.max(own, high == null ? own : high.extra)
                    - Math.min(own, low == null ? own : low.extra);
        }

        void queue(Held h, Reservation r) {
            r.queue.add(h);
            byAgreed.add(h);
            if (h.access.extent() != null && !h.category.keyOrdered()) {
                byExtent.computeIfAbsent(h.access.extent(), x -> new TreeSet<>(Held.AT_NODE))
                        .add(h);
            }
            waiting++;
        }

        void unqueue(Held h, Reservation r) {
            r.queue.remove(h);
            byAgreed.remove(h);
            TreeSet<Held> same = h.access.extent() == null ? null : byExtent.get(h.access.extent());
            if (same != null && same.remove(h) && same.isEmpty()) {
                byExtent.remove(h.access.extent());
            }
            waiting--;
        }
    }

    /** A volume's reservation queue at one node, with its three tags. */
    static final class Reservation extends Kept {
        static final Comparator<Reservation> BY_MAKING = (a, b) -> Long.compare(a.made, b.made);

        /** The one tie-break of tags: who was made first. */
        static final Comparator<Reservation> BY_FINISH =
                (a, b) -> order(Double.compare(a.finish, b.finish), a, b);

        static final Comparator<Reservation> BY_EXTRA =
                (a, b) -> order(Double.compare(a.extra, b.extra), a, b);
        static final Comparator<Reservation> BY_LOOK =
                (a, b) -> order(Long.compare(a.lookAt, b.lookAt), a, b);

        /** Its place in the order of making, over all nodes. */
        final long made;

        final Node node;
        final Volume volume;
        final TreeSet<Held> queue = new TreeSet<>(Held.INSIDE);
        double weight;
        double start;
        double finish;
        double extra;

        /** While it is parked: when to look at it again. */
        long lookAt;

        /** In which orders of its node it is now. */
        private boolean filed, isReady, isOwed, isParked;

        Reservation(long made, Node node, Volume volume) {
            this.made = made;
            this.node = node;
            this.volume = volume;
        }

        void retag() {
            finish = queue.isEmpty() ? finish : start + step(queue.first());
        }

        /** The first that waits and passes, null for none. */
        Held first(Predicate<Held> passes) {
            for (Held h : queue) {
                if (passes.test(h)) {
                    return h;
                }
            }
            return null;
        }

        /** How far one access moves a tag. */
        double step(Held h) {
            return h.access.units() / weight;
        }

        private static int order(int byTag, Reservation a, Reservation b) {
            return byTag != 0 ? byTag : Long.compare(a.made, b.made);
        }
    }

    /** Units that fill up at a rate, as they stood at a time. */
    static final class Store {
        double units;
        long at;

        /** Whose plan fills it, and among how many hosts; null until it is first used. */
        String plan;

        double hosts;

        /** One that starts empty. */
        Store(String plan, long at) {
            this.plan = plan;
            this.at = at;
            hosts = 1;
        }

        /** One host's part of what a volume not seen before has under a plan. */
        Store(Store unseen, String plan, double hosts) {
            this.plan = plan;
            this.hosts = hosts;
            units = unseen.units / hosts;
            at = unseen.at;
        }

        /** One that was never used, filled by the same plan. */
        Store(Store like) {
            this(like.plan, 0);
        }

        void set(double level, long time) {
            units = level;
            at = time;
        }

        void follow(Event.RequestReceived access) {
            plan = access.plan();
            hosts = Math.max(1, access.initiatorCount());
        }

        boolean follows(Event.RequestReceived access) {
            return access.plan().equals(plan) && hosts == Math.max(1, access.initiatorCount());
        }
    }

    /** What a cold target was sent, and when. */
    record Spent(long at, double units) {}

    /** The accesses of one key in the order they were taken, and until when the key rests. */
    static final class Turns {
        final TreeSet<Held> order = new TreeSet<>(Held.BY_TAKING);
        final String extent;
        long restUntil;

        /** When who forgets looks at it next; 0 where it does not. */
        long lookAt;

        Turns(String extent) {
            this.extent = extent;
        }
    }
}
