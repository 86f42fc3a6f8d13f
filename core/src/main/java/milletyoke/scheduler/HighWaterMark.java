package milletyoke.scheduler;

/**
 * A bound kept somewhat above a figure that moves, so that times reckoned with the bound come no
 * later than those reckoned with the figure. It goes down at once a second at most and never up
 * unnoticed. Guards against times that rest on a bound since passed: one that went up quietly left
 * accesses waiting past their agreed time for milliseconds.
 */
final class HighWaterMark {
    private static final double HEADROOM = 1.25;
    private static final long LOWER_INTERVAL_MICROS = 1_000_000;
    double bound;
    private long mayLowerAt;

    /**
     * Whether the figure is above; the bound is then raised, and what rests on it is to be looked
     * at again.
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
