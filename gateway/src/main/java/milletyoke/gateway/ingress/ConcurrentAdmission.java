package milletyoke.gateway.ingress;

import milletyoke.admission.Admission;
import milletyoke.admission.NameTable;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Request;

/**
 * The one {@link Admission} of a daemon behind a lock: sockets' threads ask and the loop gives
 * back, each holding the lock for a few look-ups. An answer at once needs no turn of the loop,
 * which may be the very thing that is behind.
 */
public final class ConcurrentAdmission {
    /**
     * A volume's state behind the door goes ten to twenty minutes after its last use
     * (microseconds).
     */
    private static final long KEPT = 1_200_000_000L;

    private static final int MOST_VOLUMES = 1 << 18;

    private final Admission admission;
    private final NameTable volumes;

    public ConcurrentAdmission(Admission.CapacityLimits room) {
        this(room, MOST_VOLUMES);
    }

    /**
     * @param mostVolumes that may be in use, where there is less memory than usual
     */
    public ConcurrentAdmission(Admission.CapacityLimits room, int mostVolumes) {
        admission = new Admission(room);
        volumes = new NameTable(mostVolumes, KEPT);
    }

    /**
     * A volume counts as named by what gets its place alone: what is turned away costs nothing
     * behind the door.
     */
    public synchronized Admission.Verdict tryAcquire(Connection client, Request access, long now) {
        if (!volumes.admits(access.getVolume(), now)) {
            return new Admission.Verdict(Admission.CapacityBound.NAMES, 0);
        }
        Admission.Verdict verdict =
                admission.tryAcquire(client.id(), access.getVolume(), access.getPayload().size());
        if (verdict.admitted()) {
            volumes.acquire(access.getVolume(), now);
        }
        return verdict;
    }

    /**
     * @param stay for how long the place was held (microseconds)
     */
    public synchronized void release(Connection client, Request access, long stay) {
        admission.release(client.id(), access.getVolume(), access.getPayload().size(), stay);
    }

    public synchronized double utilization() {
        return admission.utilization();
    }

    public synchronized int acquired() {
        return admission.acquired();
    }
}
