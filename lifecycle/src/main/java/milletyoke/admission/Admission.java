package milletyoke.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests get an admission slot. Slots and payload bytes are bounded for the whole
 * process and for each connection, and for each volume by a bound that moves: a volume may hold at
 * most {@code volumeShareFactor} times what is free (the dynamic threshold of Choudhury and Hahne,
 * IEEE/ACM Transactions on Networking 6(2), 1998). With factor f, one volume's flood takes at most
 * f/(1+f) of the slots, n floods together leave 1/(1+n·f) free, and a volume that holds little
 * finds a slot whenever there is one.
 *
 * <p>Knows no clock and no I/O. Not thread-safe: the caller serializes the calls.
 */
public final class Admission {
    /** Weight of the newest stay in the moving average. */
    private static final double MEAN_STAY_SMOOTHING = 1.0 / 64;

    private static final long MIN_RETRY_AFTER_MICROS = 1_000;

    /**
     * The capacity to be shared.
     *
     * @param slots requests admitted at once, from 1
     * @param bytes of their payloads, from 1
     * @param connectionShare of both for one connection, over 0 to 1
     * @param volumeShareFactor how many times the free capacity one volume may hold, from 1
     * @param maxRetryAfterMicros the longest time that a rejection suggests
     */
    public record CapacityLimits(
            int slots,
            long bytes,
            double connectionShare,
            double volumeShareFactor,
            long maxRetryAfterMicros) {
        /** Checks the limits. */
        public CapacityLimits {
            if (slots < 1
                    || bytes < 1
                    || !(connectionShare > 0 && connectionShare <= 1)
                    || !(volumeShareFactor >= 1)
                    || maxRetryAfterMicros < 0) {
                throw new IllegalArgumentException(
                        "expected slots and bytes from 1, a connection share over 0 to 1, a volume"
                                + " share factor from 1 and a retry time from 0, not "
                                + slots
                                + ", "
                                + bytes
                                + ", "
                                + connectionShare
                                + ", "
                                + volumeShareFactor
                                + ", "
                                + maxRetryAfterMicros);
            }
        }
    }

    /** Which bound left no slot. */
    public enum CapacityBound {
        /** None: the request is admitted. */
        NONE,
        /** The slots of the process. */
        DAEMON_PLACES,
        /** The payload bytes of the process. */
        DAEMON_BYTES,
        /** The connection's share. */
        CONNECTION,
        /** The volume's share. */
        VOLUME,
        /** The number of volumes in use. */
        NAMES
    }

    /**
     * The answer to one request.
     *
     * @param bound NONE where it is admitted
     * @param retryAfterMicros after which a slot is likely, 0 where it is admitted
     */
    public record Verdict(CapacityBound bound, long retryAfterMicros) {
        private static final Verdict ADMITTED = new Verdict(CapacityBound.NONE, 0);

        /** Whether the request has its slot. */
        public boolean admitted() {
            return bound == CapacityBound.NONE;
        }
    }

    /** What one holder has acquired. */
    private static final class Usage {
        private int slots;
        private long bytes;

        private void add(int addedSlots, long addedBytes) {
            slots += addedSlots;
            bytes += addedBytes;
        }
    }

    private final CapacityLimits limits;
    private final Usage total = new Usage();
    private final Map<Integer, Usage> usageByConnection = new HashMap<>();
    private final Map<String, Usage> usageByVolume = new HashMap<>();
    private double meanStayMicros;

    /** Creates an admission with all its capacity free. */
    public Admission(CapacityLimits limits) {
        this.limits = limits;
    }

    /** Acquires a slot where there is one. */
    public Verdict tryAcquire(int connection, String volume, long bytes) {
        CapacityBound bound = exceededBound(connection, volume, bytes);
        if (bound != CapacityBound.NONE) {
            return new Verdict(bound, retryAfterMicros());
        }
        total.add(1, bytes);
        usageByConnection.computeIfAbsent(connection, c -> new Usage()).add(1, bytes);
        usageByVolume.computeIfAbsent(volume, v -> new Usage()).add(1, bytes);
        return Verdict.ADMITTED;
    }

    private CapacityBound exceededBound(int connection, String volume, long bytes) {
        if (total.slots >= limits.slots()) {
            return CapacityBound.DAEMON_PLACES;
        }
        if (total.bytes + bytes > limits.bytes()) {
            return CapacityBound.DAEMON_BYTES;
        }
        if (exceedsConnectionShare(usageByConnection.get(connection), bytes)) {
            return CapacityBound.CONNECTION;
        }
        if (exceedsVolumeShare(usageByVolume.get(volume), bytes)) {
            return CapacityBound.VOLUME;
        }
        return CapacityBound.NONE;
    }

    private boolean exceedsConnectionShare(Usage usage, long bytes) {
        if (usage == null) {
            return false;
        }
        double maxSlots = Math.max(1, limits.connectionShare() * limits.slots());
        double maxBytes = limits.connectionShare() * limits.bytes();
        return usage.slots >= maxSlots || usage.bytes + bytes > maxBytes;
    }

    private boolean exceedsVolumeShare(Usage usage, long bytes) {
        if (usage == null) {
            return false;
        }
        double maxSlots = limits.volumeShareFactor() * (limits.slots() - total.slots);
        double maxBytes = limits.volumeShareFactor() * (limits.bytes() - total.bytes);
        return usage.slots >= maxSlots || usage.bytes + bytes > maxBytes;
    }

    /**
     * Releases a slot.
     *
     * @param stayMicros for how long it was held
     * @throws IllegalStateException where no such slot is held: one that is released twice would
     *     admit too many
     */
    public void release(int connection, String volume, long bytes, long stayMicros) {
        Usage ofConnection = usageByConnection.get(connection);
        Usage ofVolume = usageByVolume.get(volume);
        if (ofConnection == null
                || ofVolume == null
                || ofVolume.bytes < bytes
                || ofConnection.bytes < bytes) {
            throw new IllegalStateException(
                    "no slot of connection " + connection + " and volume " + volume + " is held");
        }
        total.add(-1, -bytes);
        ofConnection.add(-1, -bytes);
        ofVolume.add(-1, -bytes);
        if (ofConnection.slots == 0) {
            usageByConnection.remove(connection);
        }
        if (ofVolume.slots == 0) {
            usageByVolume.remove(volume);
        }
        updateMeanStay(stayMicros);
    }

    private void updateMeanStay(long stayMicros) {
        double weight = meanStayMicros == 0 ? 1 : MEAN_STAY_SMOOTHING;
        meanStayMicros += (stayMicros - meanStayMicros) * weight;
    }

    /** Half the mean stay: slots become free one mean stay apart each. */
    private long retryAfterMicros() {
        long likelyMicros = Math.max(MIN_RETRY_AFTER_MICROS, (long) meanStayMicros / 2);
        return Math.min(limits.maxRetryAfterMicros(), likelyMicros);
    }

    /** Slots in use. */
    public int acquired() {
        return total.slots;
    }

    /** Payload bytes of the requests that hold a slot. */
    public long bytes() {
        return total.bytes;
    }

    /** Slots that one volume holds. */
    public int acquired(String volume) {
        Usage usage = usageByVolume.get(volume);
        return usage == null ? 0 : usage.slots;
    }

    /** Connections and volumes that hold a slot: what memory is kept for. */
    public int remembered() {
        return usageByConnection.size() + usageByVolume.size();
    }

    /** The part of the slots or bytes in use, whichever is more, 0 to 1. */
    public double utilization() {
        double slotsInUse = total.slots / (double) limits.slots();
        double bytesInUse = total.bytes / (double) limits.bytes();
        return Math.max(slotsInUse, bytesInUse);
    }
}
