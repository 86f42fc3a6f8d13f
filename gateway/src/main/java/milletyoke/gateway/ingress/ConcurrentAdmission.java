package milletyoke.gateway.ingress;

import milletyoke.admission.Admission;
import milletyoke.admission.NameTable;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Request;

/**
 * Guards the process's {@link Admission} with a lock. Socket threads acquire slots and the event
 * loop releases them; each holds the lock for a few look-ups. Thus a request can be rejected
 * without a turn of the event loop, which may itself be overloaded.
 */
public final class ConcurrentAdmission {
    /**
     * The scheduler keeps a volume's state for 10 to 20 minutes after its last use; this is the
     * maximum.
     */
    private static final long VOLUME_RETENTION_MICROS = 1_200_000_000L;

    private static final int DEFAULT_MAX_VOLUMES = 1 << 18;

    private final Admission admission;
    private final NameTable volumes;

    /** Creates an admission with the default limit on the number of volumes in use. */
    public ConcurrentAdmission(Admission.CapacityLimits limits) {
        this(limits, DEFAULT_MAX_VOLUMES);
    }

    /**
     * Creates an admission.
     *
     * @param maxVolumes limit on the number of volumes in use, for processes with little memory
     */
    public ConcurrentAdmission(Admission.CapacityLimits limits, int maxVolumes) {
        admission = new Admission(limits);
        volumes = new NameTable(maxVolumes, VOLUME_RETENTION_MICROS);
    }

    /**
     * Acquires a slot if one is free. Only an admitted request counts as a use of its volume's
     * name, so that rejected requests take up no memory.
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
     * @param stayMicros how long the slot was occupied
     */
    public synchronized void release(Connection client, Request request, long stayMicros) {
        admission.release(
                client.id(), request.getVolume(), request.getPayload().size(), stayMicros);
    }

    /** Returns the share of the slots or of the bytes in use, whichever is larger, 0 to 1. */
    public synchronized double utilization() {
        return admission.utilization();
    }

    /** Returns the number of slots in use. */
    public synchronized int acquired() {
        return admission.acquired();
    }
}
