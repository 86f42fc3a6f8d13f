package milletyoke.scheduler.reference;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** The state of a {@link ReferenceScheduler}, as plain data. Times are microseconds. */
final class ReferenceState {
    private ReferenceState() {}

    /**
     * The state of targets, in parallel arrays under a dense index that stays valid for one
     * incarnation of the initiator.
     */
    static final class TargetTable {
        int count;
        String[] id = {};
        String[] zone = {};
        int[] shardOf = {};
        boolean[] usable = {};
        long[] startedAt = {};

        /** Attempts in flight, without those to earlier incarnations and those presumed lost. */
        int[] inFlight = {};

        int[] incarnation = {};
        double[] concurrencyLimit = {};

        /** The smoothed latency of answers. */
        double[] latencyMicros = {};

        /** The latency of the latest answer. */
        long[] lastLatencyMicros = {};

        long[] lastAnswerAt = {};

        /** When the newest answered attempt was sent. */
        long[] newestAnsweredSentAt = {};

        /** When the concurrency limit was last reduced. */
        long[] limitReducedAt = {};

        /** When an unresponsive target has its next half-open trial, 0 for a responsive one. */
        long[] nextTrialAt = {};

        /** Whether one attempt may be sent as a trial now. */
        boolean[] trialAllowed = {};

        /** When the probe without an answer yet was sent, 0 for none. */
        long[] probeSentAt = {};

        /** The reported queue delay. */
        double[] queueDelayMicros = {};

        /** Until when the reported queue delay is valid. */
        long[] reportValidUntil = {};

        /** The random threshold for joining the reported queue. */
        double[] joinThreshold = {};

        long[] backoffMicros = {};
        boolean[] isReportOfProbe = {};
        final List<ArrayDeque<WarmUpSend>> warmUpSends = new ArrayList<>();

        int add(String name) {
            int index = count++;
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
            isReportOfProbe = Arrays.copyOf(isReportOfProbe, count);
            warmUpSends.add(new ArrayDeque<>());
            id[index] = name;
            return index;
        }
    }

    /** One request from admission to its final answer, and on until its last attempt has ended. */
    static final class PendingRequest {
        final Event.RequestReceived received;
        final RequestClass requestClass;
        ServicePlan plan;
        ShardQueue shardQueue;
        long firstReceivedAt;
        long objectiveAt;
        long deadlineAt;

        /** When the latest attempt was sent. */
        long sentAt;

        /** The target of the attempt in flight, -1 for none. */
        int inFlightTarget = -1;

        /** The incarnation of that target when the attempt was sent. */
        int inFlightIncarnation;

        int attempts;

        /** Whether the attempt in flight has units reserved. */
        boolean hasReservedUnits;

        /** Whether the attempt in flight is a retry that was not written yet. */
        boolean hasUnwrittenRetry;

        /** Whether the units of the request were taken. */
        boolean hasSpentUnits;

        /** The target of the first attempt that may have executed, -1 for none. */
        int executedOn = -1;

        /** When that attempt was sent. */
        long executedSince;

        boolean answered;

        /** Whether the attempt in flight is presumed lost. */
        boolean presumedLost;

        /** What the attempt in flight counts against a target that warms up; null for nothing. */
        WarmUpSend warmUpSend;

        /** The queue delay that a probe had reported when the attempt was sent, -1 for none. */
        double reportedDelayMicros = -1;

        long admissionNumber;

        PendingRequest(
                Event.RequestReceived received, RequestClass requestClass, ServicePlan plan) {
            this.received = received;
            this.requestClass = requestClass;
            this.plan = plan;
        }
    }

    /** The requests queued for one shard, and the target that serves it; -1 for none. */
    static final class ShardQueue {
        int target = -1;
        int queuedCount;
        final DecayingSum requestedUnits = new DecayingSum();
        final DecayingSum servedUnits = new DecayingSum();
        long lastRequestedAt;
        long drawsSince;
        final int shard;

        ShardQueue(int shard) {
            this.shard = shard;
        }

        double virtualTime;
        final Map<String, FlowQueue> flows = new LinkedHashMap<>();
    }

    /** The queue of one volume at one shard, with its start, finish and extra tags. */
    static final class FlowQueue {
        final LinkedList<PendingRequest> requests = new LinkedList<>();
        double weight;
        double startTag;
        double finishTag;
        double extraTag;
    }

    /** A token bucket: the units that it contained at a time. */
    static final class TokenBucket {
        double units;

        /** Units of attempts that were not written yet. */
        double reservedUnits;

        long updatedAt;

        /** The plan that sets the rate; null until the bucket is first used. */
        String plan;

        /** The number of initiators that share the rate. */
        double initiatorCount;
    }

    /** Units sent to a target that warms up, and until when they count against its budget. */
    static final class WarmUpSend {
        final double units;
        long countedUntil = Long.MAX_VALUE;

        WarmUpSend(double units) {
            this.units = units;
        }
    }

    /** A sum of units that decays exponentially with time. */
    static final class DecayingSum {
        double units;
        long updatedAt;

        double at(long time, double horizonMicros) {
            return units * StrictMath.exp(Math.min(0, updatedAt - time) / horizonMicros);
        }

        void add(double more, long now, double horizonMicros) {
            units = at(now, horizonMicros) + more;
            updatedAt = Math.max(updatedAt, now);
        }
    }

    /** The requests of one key in order of admission, and until when the key is quiet. */
    static final class KeySequence {
        final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
        long quietUntil;
    }
}
