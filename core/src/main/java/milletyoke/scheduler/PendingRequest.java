package milletyoke.scheduler;

import java.util.Comparator;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** A request from admission until it has its final response and its last attempt has ended. */
final class PendingRequest {
    static final Comparator<PendingRequest> BY_ADMISSION =
            (a, b) -> Long.compare(a.admissionNumber, b.admissionNumber);

    /** Order within a volume: by priority weight, then newest first, then in order of queueing. */
    static final Comparator<PendingRequest> WITHIN_VOLUME =
            (a, b) -> {
                int byPriority =
                        Double.compare(
                                b.requestClass.priorityWeight(), a.requestClass.priorityWeight());
                int byAge =
                        byPriority != 0
                                ? byPriority
                                : Long.compare(b.firstReceivedAt, a.firstReceivedAt);
                return byAge != 0 ? byAge : Long.compare(a.enqueueNumber, b.enqueueNumber);
            };

    /** Order within a shard: by creation of the flow, then as within a volume. */
    static final Comparator<PendingRequest> WITHIN_SHARD =
            (a, b) -> {
                int byVolume = Long.compare(a.flow.creationNumber, b.flow.creationNumber);
                return byVolume != 0 ? byVolume : WITHIN_VOLUME.compare(a, b);
            };

    static final Comparator<PendingRequest> BY_OBJECTIVE =
            (a, b) -> {
                int byTime = Long.compare(a.objectiveAt, b.objectiveAt);
                return byTime != 0 ? byTime : Long.compare(a.enqueueNumber, b.enqueueNumber);
            };

    final Event.RequestReceived received;

    /** Position in the order of admission of all requests. */
    final long admissionNumber;

    /** Position in the order of queueing, as of the latest time the request was queued. */
    long enqueueNumber;

    final RequestClass requestClass;
    final VolumeState volume;
    ServicePlan plan;
    ShardQueue shardQueue;

    /** The flow in which the request is or last was queued; null before. */
    FlowQueue flow;

    long firstReceivedAt;
    long objectiveAt;
    long deadlineAt;

    /** When the latest attempt was sent, microseconds. */
    long sentAt;

    /** Target of the attempt in flight, -1 for none. */
    int inFlightTarget = -1;

    /** Incarnation of its target when the latest attempt was sent. */
    int inFlightIncarnation;

    int attempts;

    /** Whether units of its rate limit are reserved for the attempt in flight. */
    boolean hasReservedUnits;

    /** Whether the attempt in flight is a retry that was not reported as written. */
    boolean hasUnwrittenRetry;

    /** Whether an attempt took the units of the request from its rate limit. */
    boolean hasSpentUnits;

    /** Target of the first attempt that may have executed, -1 for none. */
    int executedOn = -1;

    /** When that attempt was sent. */
    long executedAttemptSentAt;

    /** Target of the attempt that succeeded, -1 for none. */
    int succeededOn = -1;

    /** Whether room is reserved to remember the request as executed. */
    boolean hasReservedExecutionId;

    boolean answered;

    /**
     * What the attempt in flight counts against the budget of a target that warms up; null for
     * nothing.
     */
    WarmUpSend warmUpSend;

    /** Queue delay that a probe had reported when the attempt in flight was sent. */
    double reportedDelayMicros = LoadReports.NO_REPORT;

    /** Whether the attempt in flight is presumed lost. */
    boolean presumedLost;

    PendingRequest(
            Event.RequestReceived received,
            long admissionNumber,
            RequestClass requestClass,
            VolumeState volume,
            ServicePlan plan) {
        this.received = received;
        this.admissionNumber = admissionNumber;
        this.requestClass = requestClass;
        this.volume = volume;
        this.plan = plan;
    }

    boolean hasRateLimit() {
        return plan != null && plan.limitRate() > 0;
    }

    /** Returns whether the next attempt needs units of a rate limit. */
    boolean needsLimitUnits() {
        return hasRateLimit() && !hasSpentUnits;
    }

    /**
     * Returns through how many initiators the volume sends; each has an equal part of the rate
     * limit.
     */
    double initiatorCount() {
        return Math.max(1, received.initiatorCount());
    }

    /** Returns this initiator's part of the volume's rate limit, units per second. */
    double limitRate() {
        return plan.limitRate() / initiatorCount();
    }

    double reservationRate() {
        return plan == null ? 0 : plan.reservationRate();
    }

    double weight() {
        return plan == null || plan.weight() <= 0 ? 1 : plan.weight();
    }

    boolean isQueued() {
        return flow != null && flow.requests.contains(this);
    }
}
