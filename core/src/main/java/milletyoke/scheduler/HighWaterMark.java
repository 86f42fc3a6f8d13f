package milletyoke.scheduler;

/**
 * An upper bound kept above a varying value, so that times computed from the bound are no later
 * than those computed from the value. The bound is lowered at most once a second, and never raised
 * without notice: a bound that was raised without notice left requests queued past their objective
 * for milliseconds, because their times were computed from the old bound.
 */
final class HighWaterMark {
    private static final double HEADROOM = 1.25;
    private static final long LOWER_INTERVAL_MICROS = 1_000_000;
    double bound;
    private long mayLowerAt;

    /**
     * Returns whether the value exceeds the bound. The bound is then raised, and times computed
     * from it must be computed again.
     */
    boolean raiseFor(double value, long now) {
        boolean isExceeded = value > bound;
        if (isExceeded || now >= mayLowerAt) {
            bound = isExceeded ? HEADROOM * value : Math.min(bound, HEADROOM * value);
            mayLowerAt = now + LOWER_INTERVAL_MICROS;
        }
        return isExceeded;
    }
}
