package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import milletyoke.scheduler.api.Event;

/**
 * The figures of targets, in parallel arrays under a dense index that a target keeps until it is
 * evicted. Times are microseconds.
 */
final class TargetTable {
    int count;
    String[] id = {};
    String[] zone = {};
    int[] shardOf = {};
    boolean[] usable = {};
    long[] startedAt = {};

    /** Attempts in flight; those of an earlier incarnation, or presumed lost, are not counted. */
    int[] inFlight = {};

    int[] incarnation = {};
    double[] concurrencyLimit = {};

    /** The smoothed latency of answers. */
    double[] latencyMicros = {};

    /** The latency of the latest answer. */
    long[] lastLatencyMicros = {};

    long[] lastAnswerAt = {};

    /**
     * When the newest answered attempt was sent; below, when the concurrency limit was last
     * reduced.
     */
    long[] newestAnsweredSentAt = {};

    long[] limitReducedAt = {};

    /**
     * When an unresponsive target has its next half-open trial, 0 for a responsive one; below,
     * whether one attempt may try now.
     */
    long[] nextTrialAt = {};

    boolean[] trialAllowed = {};

    /** When a probe was sent that has no answer yet, 0 for none. */
    long[] probeSentAt = {};

    /**
     * The queue delay reported; below, until when that holds, the random threshold for joining, and
     * the current backoff.
     */
    double[] queueDelayMicros = {};

    long[] reportValidUntil = {};
    boolean[] isReportOfProbe = {};
    double[] joinThreshold = {};
    long[] backoffMicros = {};
    final List<ArrayDeque<WarmUpSend>> warmUpSends = new ArrayList<>();

    /** When it was last found usable or needed, 0 before the first check. */
    long[] lastUsableAt = {};

    /** Indexes whose target was evicted. */
    private final ArrayDeque<Integer> freeIndexes = new ArrayDeque<>();

    /** Requests whose attempt is in flight and not presumed lost, in the order of sending. */
    final List<ArrayList<PendingRequest>> inFlightRequests = new ArrayList<>();

    /**
     * When a target is to be checked next: no later than it can be unresponsive or an attempt lost.
     */
    final IndexedTimerQueue checkTimes = new IndexedTimerQueue();

    int add(String name) {
        if (!freeIndexes.isEmpty()) {
            int reused = freeIndexes.poll();
            id[reused] = name;
            return reused;
        }
        int index = count++;
        if (count > id.length) {
            grow(Math.max(16, 2 * id.length));
        }
        warmUpSends.add(new ArrayDeque<>());
        inFlightRequests.add(new ArrayList<>());
        id[index] = name;
        return index;
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
        isReportOfProbe = Arrays.copyOf(isReportOfProbe, count);
        backoffMicros = Arrays.copyOf(backoffMicros, count);
        joinThreshold = Arrays.copyOf(joinThreshold, count);
    }

    /** Evicts a target: its index is as if never used, and may be reused. */
    void remove(int index) {
        id[index] = null;
        zone[index] = null;
        shardOf[index] = 0;
        usable[index] = false;
        startedAt[index] = 0;
        inFlight[index] = 0;
        incarnation[index] = 0;
        concurrencyLimit[index] = 0;
        latencyMicros[index] = 0;
        lastLatencyMicros[index] = 0;
        lastAnswerAt[index] = 0;
        newestAnsweredSentAt[index] = 0;
        limitReducedAt[index] = 0;
        nextTrialAt[index] = 0;
        trialAllowed[index] = false;
        probeSentAt[index] = 0;
        queueDelayMicros[index] = 0;
        reportValidUntil[index] = 0;
        isReportOfProbe[index] = false;
        joinThreshold[index] = 0;
        backoffMicros[index] = 0;
        lastUsableAt[index] = 0;
        warmUpSends.get(index).clear();
        inFlightRequests.get(index).clear();
        checkTimes.set(index, IndexedTimerQueue.NEVER);
        freeIndexes.add(index);
    }

    void updateLocation(int index, Event.Target target) {
        zone[index] = String.valueOf(target.zone());
        shardOf[index] = target.shard();
    }

    /** A new incarnation of the target: nothing is known of it, and nothing in flight. */
    void beginIncarnation(int index, double firstWindow) {
        concurrencyLimit[index] = firstWindow;
        inFlight[index] = 0;
        incarnation[index]++;
        latencyMicros[index] = 0;
        nextTrialAt[index] = 0;
        reportValidUntil[index] = 0;
    }

    /** Units sent while warming up that still count; the others are dropped. */
    double warmUpUnits(int index, long now) {
        double units = 0;
        warmUpSends.get(index).removeIf(send -> send.countedUntil <= now);
        for (WarmUpSend send : warmUpSends.get(index)) {
            units += send.units;
        }
        return units;
    }

    /** When the first of those stops counting; far in the future where none does. */
    long nextWarmUpExpiry(int index) {
        long first = IndexedTimerQueue.NEVER;
        for (WarmUpSend send : warmUpSends.get(index)) {
            first = Math.min(first, send.countedUntil);
        }
        return first;
    }
}
