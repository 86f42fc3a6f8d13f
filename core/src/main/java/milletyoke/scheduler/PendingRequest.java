package milletyoke.scheduler;

import java.util.Comparator;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/** One access from taking to its final answer, and on until its last relay has an outcome. */
final class PendingRequest {
    static final Comparator<PendingRequest> BY_TAKING = (a, b) -> Long.compare(a.taken, b.taken);

    /**
     * Inside one volume importance goes first, then the newest; then who came to the queue first.
     */
    static final Comparator<PendingRequest> INSIDE =
            (a, b) -> {
                int byImportance =
                        Double.compare(b.category.priorityWeight(), a.category.priorityWeight());
                int byAge =
                        byImportance != 0 ? byImportance : Long.compare(b.firstTaken, a.firstTaken);
                return byAge != 0 ? byAge : Long.compare(a.queued, b.queued);
            };

    /** At one node: by the order in which reservations were made, then as inside a volume. */
    static final Comparator<PendingRequest> AT_NODE =
            (a, b) -> {
                int byVolume = Long.compare(a.reservation.made, b.reservation.made);
                return byVolume != 0 ? byVolume : INSIDE.compare(a, b);
            };

    static final Comparator<PendingRequest> BY_AGREED =
            (a, b) -> {
                int byTime = Long.compare(a.agreedAt, b.agreedAt);
                return byTime != 0 ? byTime : Long.compare(a.queued, b.queued);
            };

    final Event.RequestReceived access;

    /**
     * Its place in the order of taking, and among all that came to a queue, the latest time it did.
     */
    final long taken;

    long queued;
    final RequestClass category;
    final VolumeState volume;
    ServicePlan plan;
    ShardQueue node;

    /** Where it waits or last waited; null before. */
    FlowQueue reservation;

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
     * The target of the first relay that may have run, -1 while there is none, and when that relay
     * left.
     */
    int ranAt = -1;

    long ranSince;
    boolean answered;

    /** Its relay is out, and presumed lost. */
    boolean lost;

    PendingRequest(
            Event.RequestReceived access,
            long taken,
            RequestClass category,
            VolumeState volume,
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
