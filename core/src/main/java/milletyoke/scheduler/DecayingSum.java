package milletyoke.scheduler;

/** A sum of units that decays exponentially with time. Times are microseconds. */
final class DecayingSum {
    private final double horizonMicros;
    private double units;
    private long updatedAt;

    /**
     * @param horizonMicros after which about a third of what was added is left
     */
    DecayingSum(double horizonMicros) {
        this.horizonMicros = horizonMicros;
    }

    void add(double more, long now) {
        units = at(now) + more;
        updatedAt = Math.max(updatedAt, now);
    }

    /** The sum as it has decayed by then. */
    double at(long time) {
        return units * StrictMath.exp(Math.min(0, updatedAt - time) / horizonMicros);
    }
}
