package milletyoke.gateway.ingress;

import milletyoke.admission.Admission;
import milletyoke.admission.NameTable;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Request;

/**
 * The process's one {@link Admission} behind a lock: the sockets' threads acquire slots and the
 * event loop releases them, each with a few look-ups under the lock. So a request is rejected at
 * once, without a turn of the loop, which may be the very thing that is overloaded.
 */
public final class ConcurrentAdmission {
    /** State of a volume is kept ten to twenty minutes past its last use; this is the maximum. */
    private static final long VOLUME_RETENTION_MICROS = 1_200_000_000L;

    private static final int DEFAULT_MAX_VOLUMES = 1 << 18;

    private final Admission admission;
    private final NameTable volumes;

    /** Creates an admission with the usual bound on the number of volumes in use. */
    public ConcurrentAdmission(Admission.CapacityLimits limits) {
        this(limits, DEFAULT_MAX_VOLUMES);
    }

    /**
     * Creates an admission.
     *
     * @param maxVolumes that may be in use, where there is less memory than usual
     */
    public ConcurrentAdmission(Admission.CapacityLimits limits, int maxVolumes) {
        admission = new Admission(limits);
        volumes = new NameTable(maxVolumes, VOLUME_RETENTION_MICROS);
    }

    /**
     * Acquires a slot where there is one. Only an admitted request counts as a use of its volume's
     * name: what is rejected costs no memory.
     */
    public synchronized Admission.Verdict tryAcquire(
            Connection client, Request request, long nowMicros) {
        String volume = request.getVolume();
        if (!volumes.admits(volume, nowMicros)) {
            return new Admission.Verdict(Admission.CapacityBound.NAMES, 0);
        }
        Admission.Verdict verdict =
                admission.tryAcquire(client.id(), volume, request.getPayload().size());
        if (verdict.admitted()) {
            volumes.acquire(volume, nowMicros);
        }
        return verdict;
    }

    /**
     * Releases a slot.
     *
     * @param stayMicros for how long it was occupied
     */
    public synchronized void release(Connection client, Request request, long stayMicros) {
        admission.release(
                client.id(), request.getVolume(), request.getPayload().size(), stayMicros);
    }

    /** The part of the slots or bytes in use, whichever is more, 0 to 1. */
    public synchronized double utilization() {
        return admission.utilization();
    }

    /** Slots in use. */
    public synchronized int acquired() {
        return admission.acquired();
    }
}
