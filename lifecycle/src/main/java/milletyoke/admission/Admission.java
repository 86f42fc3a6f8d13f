package milletyoke.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which requests get an admission slot. Slots and payload bytes are limited for the whole
 * process, for each connection, and for each volume. The limit for volumes is dynamic: a volume may
 * hold at most {@code volumeShareFactor} times the free capacity (the dynamic threshold of
 * Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998). With factor f, a flood of
 * one volume takes at most f/(1+f) of the slots, floods of n volumes together leave 1/(1+n·f) free,
 * and a volume that holds few slots gets another whenever one is free.
 *
 * <p>Does not read a clock or perform I/O. Not thread-safe: the caller serializes the calls.
 */
public final class Admission {
    /** Weight of the latest hold time in the moving average. */
    private static final double MEAN_HOLD_SMOOTHING = 1.0 / 64;

    private static final long MIN_RETRY_AFTER_MICROS = 1_000;

    /**
     * The total capacity and its shares.
     *
     * @param slots maximum number of admitted requests, at least 1
     * @param bytes maximum number of payload bytes of admitted requests, at least 1
     * @param connectionShare share of both that one connection may hold, greater than 0 and at most
     *     1
     * @param volumeShareFactor multiple of the free capacity that one volume may hold, at least 1
     * @param maxRetryAfterMicros maximum retry delay that a rejection suggests
     */
    public record CapacityLimits(
            int slots,
            long bytes,
            double connectionShare,
            double volumeShareFactor,
            long maxRetryAfterMicros) {
        /** Validates the limits. */
        public CapacityLimits {
            if (slots < 1
                    || bytes < 1
                    || !(connectionShare > 0 && connectionShare <= 1)
                    || !(volumeShareFactor >= 1)
                    || maxRetryAfterMicros < 0) {
                throw new IllegalArgumentException(
                        "slots, bytes and volumeShareFactor must be at least 1, connectionShare"
                                + " greater than 0 and at most 1, maxRetryAfterMicros at least 0:"
                                + " slots="
                                + slots
                                + ", bytes="
                                + bytes
                                + ", connectionShare="
                                + connectionShare
                                + ", volumeShareFactor="
                                + volumeShareFactor
                                + ", maxRetryAfterMicros="
                                + maxRetryAfterMicros);
            }
        }
    }

    /** The limit for which a request was rejected. */
    public enum CapacityBound {
        /** No limit: the request is admitted. */
        NONE,
        /** The slots of the process. */
        PROCESS_SLOTS,
        /** The payload bytes of the process. */
        PROCESS_BYTES,
        /** The connection's share of slots or bytes. */
        CONNECTION,
        /** The volume's share of slots or bytes. */
        VOLUME,
        /** The number of volume names in use. */
        NAMES
    }

    /**
     * The decision on one request.
     *
     * @param bound the exceeded limit; NONE if the request is admitted
     * @param retryAfterMicros suggested delay after which a slot is likely to be free; 0 if the
     *     request is admitted
     */
    public record Verdict(CapacityBound bound, long retryAfterMicros) {
        private static final Verdict ADMITTED = new Verdict(CapacityBound.NONE, 0);

        /** Returns whether the request is admitted. */
        public boolean admitted() {
            return bound == CapacityBound.NONE;
        }
    }

    /** The slots and bytes held by a connection, by a volume or in total. */
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
    private double meanHeldMicros;

    /** Creates an admission with its entire capacity free. */
    public Admission(CapacityLimits limits) {
        this.limits = limits;
    }

    /** Acquires a slot for a request unless a limit is exceeded. */
    public Verdict tryAcquire(int connection, String volume, long bytes) {
        CapacityBound bound = exceededBound(connection, volume, bytes);
        if (bound != CapacityBound.NONE) {
            return new Verdict(bound, suggestedRetryAfterMicros());
        }
        total.add(1, bytes);
        usageByConnection.computeIfAbsent(connection, c -> new Usage()).add(1, bytes);
        usageByVolume.computeIfAbsent(volume, v -> new Usage()).add(1, bytes);
        return Verdict.ADMITTED;
    }

    private CapacityBound exceededBound(int connection, String volume, long bytes) {
        if (total.slots >= limits.slots()) {
            return CapacityBound.PROCESS_SLOTS;
        }
        if (total.bytes + bytes > limits.bytes()) {
            return CapacityBound.PROCESS_BYTES;
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
     * @param heldMicros time for which the slot was held
     * @throws IllegalStateException if no such slot is held; releasing a slot twice would admit too
     *     many requests
     */
    public void release(int connection, String volume, long bytes, long heldMicros) {
        Usage connectionUsage = usageByConnection.get(connection);
        Usage volumeUsage = usageByVolume.get(volume);
        if (connectionUsage == null
                || volumeUsage == null
                || volumeUsage.bytes < bytes
                || connectionUsage.bytes < bytes) {
            throw new IllegalStateException(
                    "no slot is held by connection " + connection + " and volume " + volume);
        }
        total.add(-1, -bytes);
        connectionUsage.add(-1, -bytes);
        volumeUsage.add(-1, -bytes);
        if (connectionUsage.slots == 0) {
            usageByConnection.remove(connection);
        }
        if (volumeUsage.slots == 0) {
            usageByVolume.remove(volume);
        }
        updateMeanHeld(heldMicros);
    }

    private void updateMeanHeld(long heldMicros) {
        double weight = meanHeldMicros == 0 ? 1 : MEAN_HOLD_SMOOTHING;
        meanHeldMicros += (heldMicros - meanHeldMicros) * weight;
    }

    /**
     * Returns half the mean hold time: the expected time until a slot in use is released, since
     * each slot is released once per mean hold time.
     */
    private long suggestedRetryAfterMicros() {
        long delayMicros = Math.max(MIN_RETRY_AFTER_MICROS, (long) meanHeldMicros / 2);
        return Math.min(limits.maxRetryAfterMicros(), delayMicros);
    }

    /** Returns the number of slots in use. */
    public int acquired() {
        return total.slots;
    }

    /** Returns the number of payload bytes of all admitted requests. */
    public long bytes() {
        return total.bytes;
    }

    /** Returns the number of slots that a volume holds. */
    public int acquired(String volume) {
        Usage usage = usageByVolume.get(volume);
        return usage == null ? 0 : usage.slots;
    }

    /** Returns the number of connections and volumes for which state is kept. */
    public int trackedHolders() {
        return usageByConnection.size() + usageByVolume.size();
    }

    /** Returns the larger of the utilizations of slots and of bytes, from 0 to 1. */
    public double utilization() {
        double slotUtilization = total.slots / (double) limits.slots();
        double byteUtilization = total.bytes / (double) limits.bytes();
        return Math.max(slotUtilization, byteUtilization);
    }
}
