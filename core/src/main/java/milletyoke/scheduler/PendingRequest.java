package milletyoke.scheduler;

import java.util.Comparator;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** One access from taking to its final answer, and on until its last relay has an outcome. */
final class PendingRequest {
    static final Comparator<PendingRequest> BY_ADMISSION =
            (a, b) -> Long.compare(a.admissionNumber, b.admissionNumber);

    /**
     * Inside one volume importance goes first, then the newest; then who came to the queue first.
     */
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

    /** At one node: by the order in which reservations were made, then as inside a volume. */
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

    /**
     * Its place in the order of taking, and among all that came to a queue, the latest time it did.
     */
    final long admissionNumber;

    long enqueueNumber;
    final RequestClass requestClass;
    final VolumeState volume;
    ServicePlan plan;
    ShardQueue shardQueue;

    /** Where it waits or last waited; null before. */
    FlowQueue flow;

    long firstReceivedAt;
    long objectiveAt;
    long deadlineAt;

    /**
     * When, to which target and in which life of it the latest relay left; -1 once that has its
     * outcome.
     */
    long sentAt;

    int inFlightTarget = -1;
    int inFlightIncarnation;
    int attempts;

    /**
     * The target of the first relay that may have run, -1 while there is none, and when that relay
     * left.
     */
    int executedOn = -1;

    long executedSince;
    boolean answered;

    /** Its relay is out, and presumed lost. */
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

    /** Through how many hosts its volume comes; each keeps its part of what is limited. */
    double initiatorCount() {
        return Math.max(1, received.initiatorCount());
    }

    /** This host's part of its volume's limit, units a second. */
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
