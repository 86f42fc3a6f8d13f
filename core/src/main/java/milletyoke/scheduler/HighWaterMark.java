package milletyoke.scheduler;

/**
 * An upper bound kept somewhat above a figure that moves, so that times computed from the bound
 * come no later than those computed from the figure. It is lowered at most once a second and never
 * raised unnoticed. Guards against times that rest on an outdated bound: one that was raised
 * quietly left requests queued past their objective for milliseconds.
 */
final class HighWaterMark {
    private static final double HEADROOM = 1.25;
    private static final long LOWER_INTERVAL_MICROS = 1_000_000;
    double bound;
    private long mayLowerAt;

    /**
     * Whether the figure exceeds the bound; the bound is then raised, and what was computed from it
     * is to be computed anew.
     */
    boolean raiseFor(double figure, long now) {
        boolean outgrown = figure > bound;
        if (outgrown || now >= mayLowerAt) {
            bound = outgrown ? HEADROOM * figure : Math.min(bound, HEADROOM * figure);
            mayLowerAt = now + LOWER_INTERVAL_MICROS;
        }
        return outgrown;
    }
}
