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
    long[] startedAt = {};

    /** Relays out; those of an earlier life, or presumed lost, are not counted. */
    int[] inFlight = {};

    int[] incarnation = {};
    double[] concurrencyLimit = {};

    /** The usual lag of an answer. */
    double[] latencyMicros = {};

    /** What the latest answer took. */
    long[] lastLatencyMicros = {};

    long[] lastAnswerAt = {};

    /** When the latest answered relay was sent, and when the window was last halved. */
    long[] newestAnsweredSentAt = {};

    long[] limitReducedAt = {};

    /**
     * When a silent target is tried again, 0 for one that is not silent; and whether one access may
     * try now.
     */
    long[] nextTrialAt = {};

    boolean[] trialAllowed = {};

    /** When a probe left that has no answer yet, 0 for none. */
    long[] probeSentAt = {};

    /**
     * The waiting that was told of, until when that holds, the draw made with it, and how long a
     * rest is now.
     */
    double[] queueDelayMicros = {};

    long[] reportValidUntil = {};
    double[] joinThreshold = {};
    long[] backoffMicros = {};
    final List<ArrayDeque<WarmUpSend>> warmUpSends = new ArrayList<>();

    /** When it was last found usable, or needed; 0 where nobody has looked yet. */
    long[] lastUsableAt = {};

    /** Indexes whose target was forgotten. */
    private final ArrayDeque<Integer> freeIndexes = new ArrayDeque<>();

    /** Accesses whose relay is out there and not presumed lost, in the order of sending. */
    final List<ArrayList<PendingRequest>> inFlightRequests = new ArrayList<>();

    /** When what is owed there is to be looked at again: no later than it can be silent or lost. */
    final IndexedTimerQueue checkTimes = new IndexedTimerQueue();

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
        warmUpSends.add(new ArrayDeque<>());
        inFlightRequests.add(new ArrayList<>());
        id[t] = name;
        return t;
    }

    private void grow(int count) {
        lastUsableAt = Arrays.copyOf(lastUsableAt, count);
        id = Arrays.copyOf(id, count);
        zone = Arrays.copyOf(zone, count);
        shardOf = Arrays.copyOf(shardOf, count);
        usable = Arrays.copyOf(usable, count);
        startedAt = Arrays.copyOf(startedAt, count);
        inFlight = Arrays.copyOf(inFlight, count);
        incarnation = Arrays.copyOf(incarnation, count);
        concurrencyLimit = Arrays.copyOf(concurrencyLimit, count);
        latencyMicros = Arrays.copyOf(latencyMicros, count);
        lastLatencyMicros = Arrays.copyOf(lastLatencyMicros, count);
        lastAnswerAt = Arrays.copyOf(lastAnswerAt, count);
        newestAnsweredSentAt = Arrays.copyOf(newestAnsweredSentAt, count);
        limitReducedAt = Arrays.copyOf(limitReducedAt, count);
        nextTrialAt = Arrays.copyOf(nextTrialAt, count);
        trialAllowed = Arrays.copyOf(trialAllowed, count);
        probeSentAt = Arrays.copyOf(probeSentAt, count);
        queueDelayMicros = Arrays.copyOf(queueDelayMicros, count);
        reportValidUntil = Arrays.copyOf(reportValidUntil, count);
        backoffMicros = Arrays.copyOf(backoffMicros, count);
        joinThreshold = Arrays.copyOf(joinThreshold, count);
    }

    /** Forgets a target: its index is as if never used, and may be used again. */
    void remove(int t) {
        id[t] = null;
        zone[t] = null;
        shardOf[t] = 0;
        usable[t] = false;
        startedAt[t] = 0;
        inFlight[t] = 0;
        incarnation[t] = 0;
        concurrencyLimit[t] = 0;
        latencyMicros[t] = 0;
        lastLatencyMicros[t] = 0;
        lastAnswerAt[t] = 0;
        newestAnsweredSentAt[t] = 0;
        limitReducedAt[t] = 0;
        nextTrialAt[t] = 0;
        trialAllowed[t] = false;
        probeSentAt[t] = 0;
        queueDelayMicros[t] = 0;
        reportValidUntil[t] = 0;
        joinThreshold[t] = 0;
        backoffMicros[t] = 0;
        lastUsableAt[t] = 0;
        warmUpSends.get(t).clear();
        inFlightRequests.get(t).clear();
        checkTimes.set(t, IndexedTimerQueue.NEVER);
        freeIndexes.add(t);
    }

    void updateLocation(int t, Event.Target target) {
        zone[t] = String.valueOf(target.zone());
        shardOf[t] = target.shard();
    }

    /** A new life of the target: nothing is known of it, and nothing out. */
    void beginIncarnation(int t, double firstWindow) {
        concurrencyLimit[t] = firstWindow;
        inFlight[t] = 0;
        incarnation[t]++;
        latencyMicros[t] = 0;
        nextTrialAt[t] = 0;
        reportValidUntil[t] = 0;
    }

    /** Units sent to a cold target after that time; what was before is dropped. */
    double warmUpUnitsSince(int t, long since) {
        double units = 0;
        warmUpSends.get(t).removeIf(s -> s.sentAt() <= since);
        for (WarmUpSend s : warmUpSends.get(t)) {
            units += s.units();
        }
        return units;
    }

    /** When the first of those was sent; far off where there is none. */
    long oldestWarmUpSendAt(int t) {
        return warmUpSends.get(t).isEmpty()
                ? IndexedTimerQueue.NEVER / 2
                : warmUpSends.get(t).peekFirst().sentAt();
    }
}
