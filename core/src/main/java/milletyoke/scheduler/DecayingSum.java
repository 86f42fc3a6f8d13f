package milletyoke.scheduler;

/** A sum of units that decays exponentially over time. Times are microseconds. */
final class DecayingSum {
    private final double horizonMicros;
    private double units;
    private long updatedAt;

    /**
     * @param horizonMicros time after which about a third of an added amount is left
     */
    DecayingSum(double horizonMicros) {
        this.horizonMicros = horizonMicros;
    }

    void add(double addedUnits, long now) {
        units = at(now) + addedUnits;
        updatedAt = Math.max(updatedAt, now);
    }

    /** Returns the sum as decayed until the given time. */
    double at(long time) {
        return units * StrictMath.exp(Math.min(0, updatedAt - time) / horizonMicros);
    }
}
