package milletyoke.standins;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Draws random requests according to a load profile. Draws are made by one thread at a time and in
 * a fixed order, so that a seed always gives the same requests. Any thread may set the surge and
 * the hot key.
 */
final class RequestGenerator {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double PREFERRED_INITIATOR_FRACTION = 0.6;
    private static final int MAX_RUN_LENGTH = 6;
    private static final int EXTENT_COUNT = 1000;
    private static final int NEW_OBJECT = -1;

    private final LoadProfile profile;
    private final boolean isDirect;
    private final SplittableRandom random;
    private final AtomicLong numberSequence;

    /** By volume index: the total demand of this volume and all volumes before it. */
    private final double[] cumulativeDemand;

    /** By volume index: the extent that is accessed currently. */
    private final String[] currentExtents;

    /** By volume index: further requests to the current extent. */
    private final int[] remainingAccesses;

    private volatile int[] surgingVolumes = new int[0];
    private volatile double surgeFraction;
    private volatile double hotKeyFraction;

    /**
     * @param isDirect whether requests are sent directly to targets, bypassing the initiators
     * @param numberSequence numbers the idempotency keys; shared with the numbering of attempts
     */
    RequestGenerator(
            LoadProfile profile,
            boolean isDirect,
            SplittableRandom random,
            AtomicLong numberSequence) {
        this.profile = profile;
        this.isDirect = isDirect;
        this.random = random;
        this.numberSequence = numberSequence;
        int volumeCount = profile.volumes().size();
        currentExtents = new String[volumeCount];
        remainingAccesses = new int[volumeCount];
        cumulativeDemand =
                profile.volumes().stream()
                        .mapToDouble(LoadProfile.Volume::demandFraction)
                        .toArray();
        Arrays.parallelPrefix(cumulativeDemand, Double::sum);
    }

    /** Raises the total rate by a fraction, sent to some volumes; an empty set ends the surge. */
    void setSurge(Set<String> volumeNames, double fraction) {
        List<LoadProfile.Volume> volumes = profile.volumes();
        surgingVolumes =
                IntStream.range(0, volumes.size())
                        .filter(index -> volumeNames.contains(volumes.get(index).name()))
                        .toArray();
        surgeFraction = surgingVolumes.length == 0 ? 0 : fraction;
    }

    void setHotKeyFraction(double fraction) {
        hotKeyFraction = fraction;
    }

    /** Draws the time to the next arrival of a Poisson process at the current rate. */
    long drawInterarrivalMicros() {
        double rate = profile.requestsPerSecond() * (1 + surgeFraction);
        return (long) (-Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / rate);
    }

    /** Draws a delay that spreads the first requests of closed-loop clients. */
    long drawStartDelayMicros() {
        return random.nextLong(1_000 + profile.thinkTimeMicros());
    }

    /** Draws a volume index weighted by demand; the extra load of a surge is split evenly. */
    int drawVolume() {
        int[] surging = surgingVolumes;
        double position = random.nextDouble() * (1 + surgeFraction);
        if (position >= 1 && surging.length > 0) {
            return surging[random.nextInt(surging.length)];
        }
        int insertionPoint = Arrays.binarySearch(cumulativeDemand, position);
        int index = insertionPoint >= 0 ? insertionPoint + 1 : -insertionPoint - 1;
        return Math.min(cumulativeDemand.length - 1, index);
    }

    /** Draws a request to a volume. */
    ClientRequest drawRequest(long dueMicros, int volumeIndex) {
        LoadProfile.RequestClass requestClass = drawRequestClass();
        LoadProfile.Volume volume = profile.volumes().get(volumeIndex);
        boolean isHot = hotKeyFraction > 0 && random.nextDouble() < hotKeyFraction;
        int shard = volume.shards().get(isHot ? 0 : random.nextInt(volume.shards().size()));
        String extent = isHot ? "hot-" + shard : drawExtent(volumeIndex, shard);
        int unitRange = requestClass.maxUnits() - requestClass.minUnits() + 1;
        double units = requestClass.minUnits() + random.nextInt(unitRange);
        int initiator = drawInitiator(volume);
        long timeoutMicros = drawTimeoutMicros(requestClass);
        String key = newIdempotencyKey(volume);
        return new ClientRequest(
                requestClass,
                volume,
                requestClass.isNewObject() && !isDirect ? NEW_OBJECT : shard,
                extent,
                units,
                key,
                isDirect ? shard : initiator,
                dueMicros,
                dueMicros + timeoutMicros,
                profile.cancelFraction() > 0 && random.nextDouble() < profile.cancelFraction());
    }

    /** Recreates a captured request. */
    ClientRequest replay(LoadProfile.TracedRequest traced, long dueMicros) {
        return new ClientRequest(
                traced.requestClass(),
                traced.volume(),
                traced.shard(),
                traced.extent(),
                traced.units(),
                newIdempotencyKey(traced.volume()),
                isDirect ? Math.max(0, traced.shard()) : traced.initiator(),
                dueMicros,
                dueMicros + traced.timeLeftMicros(),
                false);
    }

    private String newIdempotencyKey(LoadProfile.Volume volume) {
        return "m" + numberSequence.incrementAndGet() + "." + volume.name();
    }

    private LoadProfile.RequestClass drawRequestClass() {
        double remaining = random.nextDouble();
        for (LoadProfile.RequestClass requestClass : profile.requestClasses()) {
            remaining -= requestClass.share();
            if (remaining < 0) {
                return requestClass;
            }
        }
        return profile.requestClasses().get(0);
    }

    /** Draws an extent; successive requests to a volume tend to access the same extent. */
    private String drawExtent(int volumeIndex, int shard) {
        if (remainingAccesses[volumeIndex]-- <= 0 || currentExtents[volumeIndex] == null) {
            remainingAccesses[volumeIndex] = random.nextInt(MAX_RUN_LENGTH);
            currentExtents[volumeIndex] = "x" + random.nextInt(EXTENT_COUNT);
        }
        return currentExtents[volumeIndex] + "." + volumeIndex + "." + shard;
    }

    private int drawInitiator(LoadProfile.Volume volume) {
        boolean isPreferred = random.nextDouble() < PREFERRED_INITIATOR_FRACTION;
        int index = isPreferred ? 0 : random.nextInt(volume.initiators().size());
        return isDirect ? 0 : volume.initiators().get(index);
    }

    private long drawTimeoutMicros(LoadProfile.RequestClass requestClass) {
        boolean isShort =
                profile.shortDeadlineFraction() > 0
                        && random.nextDouble() < profile.shortDeadlineFraction();
        return isShort
                ? random.nextLong(
                        profile.minShortDeadlineMicros(), profile.maxShortDeadlineMicros() + 1)
                : requestClass.deadlineMicros();
    }
}
