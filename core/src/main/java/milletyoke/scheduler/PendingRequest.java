package milletyoke.scheduler;

import java.util.Comparator;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** One request from admission to its final answer, and on until its last attempt has ended. */
final class PendingRequest {
    static final Comparator<PendingRequest> BY_ADMISSION =
            (a, b) -> Long.compare(a.admissionNumber, b.admissionNumber);

    /** Inside one volume: by priority weight, then the newest, then the order of queueing. */
    static final Comparator<PendingRequest> WITHIN_VOLUME =
            (a, b) -> {
                int byImportance =
                        Double.compare(
                                b.requestClass.priorityWeight(), a.requestClass.priorityWeight());
                int byAge =
                        byImportance != 0
                                ? byImportance
                                : Long.compare(b.firstReceivedAt, a.firstReceivedAt);
                return byAge != 0 ? byAge : Long.compare(a.enqueueNumber, b.enqueueNumber);
            };

    /** At one shard: by the order in which flows were created, then as inside a volume. */
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

    /** The order of admission, over all requests; below, of the latest queueing. */
    final long admissionNumber;

    long enqueueNumber;
    final RequestClass requestClass;
    final VolumeState volume;
    ServicePlan plan;
    ShardQueue shardQueue;

    /** The flow in which it is or last was queued; null before. */
    FlowQueue flow;

    long firstReceivedAt;
    long objectiveAt;
    long deadlineAt;

    /**
     * When the latest attempt was sent, microseconds; below, its target (-1 once it has ended) and
     * that target's incarnation.
     */
    long sentAt;

    int inFlightTarget = -1;
    int inFlightIncarnation;
    int attempts;

    /**
     * The target of the first attempt that may have executed, -1 for none; below, when that attempt
     * was sent.
     */
    int executedOn = -1;

    long executedSince;
    boolean answered;

    /** What its attempt in flight counts against a target that warms up; null for nothing. */
    WarmUpSend warmUpSend;

    /** The queue delay that a probe had reported as its attempt in flight was sent. */
    double reportedDelayMicros = LoadReports.NO_REPORT;

    /** Its attempt is in flight, but presumed lost. */
    boolean presumedLost;

    PendingRequest(
            Event.RequestReceived access,
            long taken,
            RequestClass category,
            VolumeState volume,
            ServicePlan plan) {
        this.received = access;
        this.admissionNumber = taken;
        this.requestClass = category;
        this.volume = volume;
        this.plan = plan;
    }

    boolean hasRateLimit() {
        return plan != null && plan.limitRate() > 0;
    }

    /** Through how many initiators its volume sends; each has its part of the rate limit. */
    double initiatorCount() {
        return Math.max(1, received.initiatorCount());
    }

    /** This initiator's part of its volume's rate limit, units a second. */
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
