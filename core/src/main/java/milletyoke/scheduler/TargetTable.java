package milletyoke.scheduler;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import milletyoke.scheduler.api.Event;

/**
 * State of all targets in parallel arrays, by a dense index that a target keeps until it is
 * evicted. Times are microseconds.
 */
final class TargetTable {
    int count;
    String[] id = {};
    String[] zone = {};
    int[] shardOf = {};
    boolean[] usable = {};
    long[] startedAt = {};

    /** Number of attempts in flight, except those of an earlier incarnation or presumed lost. */
    int[] inFlight = {};

    int[] incarnation = {};
    double[] concurrencyLimit = {};

    /** Smoothed latency of responses. */
    double[] latencyMicros = {};

    /** Latency of the latest response. */
    long[] lastLatencyMicros = {};

    long[] lastResponseAt = {};

    /** Latest send time among the attempts that succeeded. */
    long[] newestRespondedSentAt = {};

    /** When the concurrency limit was last reduced. */
    long[] limitReducedAt = {};

    /** Next half-open trial of an unresponsive target, 0 for a responsive one. */
    long[] nextTrialAt = {};

    /** Whether one trial attempt may be sent now. */
    boolean[] trialAllowed = {};

    /** When the unanswered probe was sent, 0 for none. */
    long[] probeSentAt = {};

    /** Latest reported queue delay. */
    double[] queueDelayMicros = {};

    long[] reportValidUntil = {};
    boolean[] isReportOfProbe = {};

    /** Random threshold for joining the reported queue. */
    double[] joinThreshold = {};

    long[] backoffMicros = {};
    final List<ArrayDeque<WarmUpSend>> warmUpSends = new ArrayList<>();

    /** When the target was last found usable or needed, 0 before the first check. */
    long[] lastUsableAt = {};

    /** Indexes of evicted targets, to be reused. */
    private final ArrayDeque<Integer> freeIndexes = new ArrayDeque<>();

    /** Requests with an attempt in flight that is not presumed lost, in order of sending. */
    final List<ArrayList<PendingRequest>> inFlightRequests = new ArrayList<>();

    /**
     * When to check each target next: no later than it can be found unresponsive or an attempt
     * lost.
     */
    final IndexedTimerQueue checkTimes = new IndexedTimerQueue();

    int add(String targetId) {
        if (!freeIndexes.isEmpty()) {
            int reused = freeIndexes.poll();
            id[reused] = targetId;
            return reused;
        }
        int index = count++;
        if (count > id.length) {
            grow(Math.max(16, 2 * id.length));
        }
        warmUpSends.add(new ArrayDeque<>());
        inFlightRequests.add(new ArrayList<>());
        id[index] = targetId;
        return index;
    }

    private void grow(int capacity) {
        lastUsableAt = Arrays.copyOf(lastUsableAt, capacity);
        id = Arrays.copyOf(id, capacity);
        zone = Arrays.copyOf(zone, capacity);
        shardOf = Arrays.copyOf(shardOf, capacity);
        usable = Arrays.copyOf(usable, capacity);
        startedAt = Arrays.copyOf(startedAt, capacity);
        inFlight = Arrays.copyOf(inFlight, capacity);
        incarnation = Arrays.copyOf(incarnation, capacity);
        concurrencyLimit = Arrays.copyOf(concurrencyLimit, capacity);
        latencyMicros = Arrays.copyOf(latencyMicros, capacity);
        lastLatencyMicros = Arrays.copyOf(lastLatencyMicros, capacity);
        lastResponseAt = Arrays.copyOf(lastResponseAt, capacity);
        newestRespondedSentAt = Arrays.copyOf(newestRespondedSentAt, capacity);
        limitReducedAt = Arrays.copyOf(limitReducedAt, capacity);
        nextTrialAt = Arrays.copyOf(nextTrialAt, capacity);
        trialAllowed = Arrays.copyOf(trialAllowed, capacity);
        probeSentAt = Arrays.copyOf(probeSentAt, capacity);
        queueDelayMicros = Arrays.copyOf(queueDelayMicros, capacity);
        reportValidUntil = Arrays.copyOf(reportValidUntil, capacity);
        isReportOfProbe = Arrays.copyOf(isReportOfProbe, capacity);
        backoffMicros = Arrays.copyOf(backoffMicros, capacity);
        joinThreshold = Arrays.copyOf(joinThreshold, capacity);
    }

    /** Evicts a target: resets the state at its index, which may then be reused. */
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
        lastResponseAt[index] = 0;
        newestRespondedSentAt[index] = 0;
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

    /** Begins a new incarnation of a target, without latencies, reports or attempts in flight. */
    void beginIncarnation(int index, double initialLimit) {
        concurrencyLimit[index] = initialLimit;
        inFlight[index] = 0;
        incarnation[index]++;
        latencyMicros[index] = 0;
        nextTrialAt[index] = 0;
        reportValidUntil[index] = 0;
    }

    /**
     * Returns the units sent during warm-up that still count against the budget; drops the others.
     */
    double warmUpUnits(int index, long now) {
        double units = 0;
        warmUpSends.get(index).removeIf(send -> send.countedUntil <= now);
        for (WarmUpSend send : warmUpSends.get(index)) {
            units += send.units;
        }
        return units;
    }

    /**
     * Returns when the first of those units stops counting, {@link IndexedTimerQueue#NEVER} for
     * none.
     */
    long nextWarmUpExpiry(int index) {
        long first = IndexedTimerQueue.NEVER;
        for (WarmUpSend send : warmUpSends.get(index)) {
            first = Math.min(first, send.countedUntil);
        }
        return first;
    }
}
