package milletyoke.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which accesses get a place. Places and bytes are bounded for the whole daemon and for
 * each connection, and for each volume by a bound that moves: a volume may hold at most {@code
 * greed} times what is free (the dynamic threshold of Choudhury and Hahne, IEEE/ACM Transactions on
 * Networking 6(2), 1998). So one volume's flood takes at most greed/(1+greed) of the places, n
 * floods together leave 1/(1+n·greed) free, and whoever holds little finds a place whenever there
 * is one. Knows no clock and no I/O; one owner at a time may call it.
 */
public final class Admission {
    /** How fast the mean stay follows. */
    private static final double SMOOTHING = 1.0 / 64;

    /**
     * What there is room for.
     *
     * @param acquired accesses held at once
     * @param bytes of their payloads
     * @param connectionPart of both, for one connection
     * @param greed how many times the free room one volume may hold
     * @param longestAdvice microseconds
     */
    public record CapacityLimits(
            int places, long bytes, double connectionPart, double greed, long longestAdvice) {
        public CapacityLimits {
            if (places < 1
                    || bytes < 1
                    || !(connectionPart > 0 && connectionPart <= 1)
                    || !(greed >= 1)
                    || longestAdvice < 0) {
                throw new IllegalArgumentException(
                        "places and bytes from 1, a part of 0 to 1, greed from 1 and advice"
                                + " from 0 are expected, not "
                                + places
                                + ", "
                                + bytes
                                + ", "
                                + connectionPart
                                + ", "
                                + greed
                                + ", "
                                + longestAdvice);
            }
        }
    }

    /** Why there was no place. */
    public enum CapacityBound {
        NONE,
        DAEMON_PLACES,
        DAEMON_BYTES,
        CONNECTION,
        VOLUME,
        NAMES
    }

    /**
     * The answer to one asking.
     *
     * @param bound NONE where it got its place
     * @param retryAfterMicros microseconds after which a place is likely, 0 where there is a place
     */
    public record Verdict(CapacityBound bound, long retryAfterMicros) {
        private static final Verdict ADMITTED = new Verdict(CapacityBound.NONE, 0);

        public boolean admitted() {
            return bound == CapacityBound.NONE;
        }
    }

    private static final class Held {
        int places;
        long bytes;
    }

    private final CapacityLimits room;
    private final Held all = new Held();
    private final Map<Integer, Held> byConnection = new HashMap<>();
    private final Map<String, Held> byVolume = new HashMap<>();
    private double meanStay;

    public Admission(CapacityLimits room) {
        this.room = room;
    }

    /** Takes a place where there is one. */
    public Verdict tryAcquire(int connection, String volume, long bytes) {
        CapacityBound bound = bound(connection, volume, bytes);
        if (bound != CapacityBound.NONE) {
            return new Verdict(bound, advice());
        }
        add(all, 1, bytes);
        add(byConnection.computeIfAbsent(connection, c -> new Held()), 1, bytes);
        add(byVolume.computeIfAbsent(volume, v -> new Held()), 1, bytes);
        return Verdict.ADMITTED;
    }

    private CapacityBound bound(int connection, String volume, long bytes) {
        if (all.places >= room.places()) {
            return CapacityBound.DAEMON_PLACES;
        }
        if (all.bytes + bytes > room.bytes()) {
            return CapacityBound.DAEMON_BYTES;
        }
        Held c = byConnection.get(connection);
        if (c != null
                && (c.places >= Math.max(1, room.connectionPart() * room.places())
                        || c.bytes + bytes > room.connectionPart() * room.bytes())) {
            return CapacityBound.CONNECTION;
        }
        Held v = byVolume.get(volume);
        if (v != null
                && (v.places >= room.greed() * (room.places() - all.places)
                        || v.bytes + bytes > room.greed() * (room.bytes() - all.bytes))) {
            return CapacityBound.VOLUME;
        }
        return CapacityBound.NONE;
    }

    private static void add(Held held, int places, long bytes) {
        held.places += places;
        held.bytes += bytes;
    }

    /**
     * Gives a place back.
     *
     * @param stay for how long it was held (microseconds)
     * @throws IllegalStateException where no such place is held: a place given back twice would let
     *     in too many
     */
    public void release(int connection, String volume, long bytes, long stay) {
        Held c = byConnection.get(connection);
        Held v = byVolume.get(volume);
        if (c == null || v == null || v.bytes < bytes || c.bytes < bytes) {
            throw new IllegalStateException(
                    "no place of connection " + connection + " and volume " + volume + " is held");
        }
        add(all, -1, -bytes);
        add(c, -1, -bytes);
        add(v, -1, -bytes);
        if (c.places == 0) {
            byConnection.remove(connection);
        }
        if (v.places == 0) {
            byVolume.remove(volume);
        }
        meanStay += (stay - meanStay) * (meanStay == 0 ? 1 : SMOOTHING);
    }

    /** Places come free one mean stay apart each; half of that is when a place is likely. */
    private long advice() {
        return Math.min(room.longestAdvice(), Math.max(1_000, (long) meanStay / 2));
    }

    public int acquired() {
        return all.places;
    }

    public long bytes() {
        return all.bytes;
    }

    /** Places that one volume holds. */
    public int acquired(String volume) {
        Held v = byVolume.get(volume);
        return v == null ? 0 : v.places;
    }

    /** Connections and volumes that hold anything: what is remembered beside the sums. */
    public int remembered() {
        return byConnection.size() + byVolume.size();
    }

    /** The part of places or bytes taken, whichever is more. */
    public double utilization() {
        return Math.max(all.places / (double) room.places(), all.bytes / (double) room.bytes());
    }
}
