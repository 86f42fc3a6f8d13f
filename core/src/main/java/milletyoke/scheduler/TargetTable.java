package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import milletyoke.scheduler.api.Event;

/**
 * Figures about targets, in parallel arrays under a dense index that lasts one life of the
 * initiator.
 */
final class TargetTable {
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
     * When a silent target is tried again, 0 for one that is not silent; and whether one access may
     * try now.
     */
    long[] nextTrial = {};

    boolean[] mayTry = {};

    /** When a probe left that has no answer yet, 0 for none. */
    long[] askedAt = {};

    /**
     * The waiting that was told of, until when that holds, the draw made with it, and how long a
     * rest is now.
     */
    double[] crowd = {};

    long[] toldUntil = {};
    double[] bar = {};
    long[] rest = {};
    final List<ArrayDeque<WarmUpSend>> coldSpent = new ArrayList<>();

    /** When it was last found usable, or needed; 0 where nobody has looked yet. */
    long[] usableAt = {};

    /** Indexes whose target was forgotten. */
    private final ArrayDeque<Integer> freeIndexes = new ArrayDeque<>();

    /** Accesses whose relay is out there and not presumed lost, in the order of sending. */
    final List<ArrayList<PendingRequest>> outs = new ArrayList<>();

    /** When what is owed there is to be looked at again: no later than it can be silent or lost. */
    final IndexedTimerQueue due = new IndexedTimerQueue();

    int add(String name) {
        if (!freeIndexes.isEmpty()) {
            int reused = freeIndexes.poll();
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
        freeIndexes.add(t);
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
        for (WarmUpSend s : coldSpent.get(t)) {
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
