package milletyoke.standins;

import java.util.ArrayDeque;

/**
 * How warm a target is after its start, and whether it was overloaded before it was warm. Guarded
 * by the target's lock; times are microseconds.
 */
final class WarmUp {
    private static final double MICROS_PER_SECOND = 1e6;

    private record Arrival(long atMicros, double units) {}

    private final TargetBehavior behavior;
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
    private boolean startsCold;
    private long startedAtMicros;
    private double recentUnits;
    private double completedUnits;
    private double budgetUse;
    private double highestBudgetUse;

    WarmUp(TargetBehavior behavior) {
        this.behavior = behavior;
    }

    void start(boolean isCold, long nowMicros) {
        startsCold = isCold;
        startedAtMicros = nowMicros;
        recentUnits = 0;
        completedUnits = 0;
        recentArrivals.clear();
    }

    void addCompletedUnits(double units) {
        completedUnits += units;
    }

    /** The part of its capacity that the target has by now. */
    double capacityFraction(long nowMicros) {
        if (!startsCold) {
            return 1;
        }
        double initial = behavior.initialCapacityFraction();
        return initial + (1 - initial) * progress(nowMicros);
    }

    private double progress(long nowMicros) {
        double byTime =
                behavior.warmUpMicros() == 0
                        ? 1
                        : Math.min(
                                1,
                                (nowMicros - startedAtMicros) / (double) behavior.warmUpMicros());
        if (behavior.warmUpUnits() <= 0) {
            return byTime;
        }
        return Math.min(1, Math.max(byTime, completedUnits / behavior.warmUpUnits()));
    }

    /**
     * Counts work that was sent to the target while it warms up.
     *
     * @return whether more than its warm-up budget was sent within the overload window
     */
    boolean addArrival(long nowMicros, double units) {
        if (!startsCold || nowMicros > startedAtMicros + behavior.warmUpMicros()) {
            return false;
        }
        recentArrivals.addLast(new Arrival(nowMicros, units));
        recentUnits += units;
        long windowStart = nowMicros - behavior.overloadWindowMicros();
        while (recentArrivals.peekFirst().atMicros() <= windowStart) {
            recentUnits -= recentArrivals.removeFirst().units();
        }
        if (behavior.overloadWindowMicros() <= 0) {
            highestBudgetUse = 0;
            return false;
        }
        double budget = budgetUnits(nowMicros);
        budgetUse = recentUnits / budget;
        highestBudgetUse = Math.max(highestBudgetUse, budgetUse);
        return recentUnits > budget;
    }

    private double budgetUnits(long nowMicros) {
        return behavior.overloadFactor()
                * behavior.unitsPerSecond()
                * capacityFraction(nowMicros)
                * behavior.overloadWindowMicros()
                / MICROS_PER_SECOND;
    }

    /** The part of the warm-up budget that was sent within the overload window at last. */
    double budgetUse() {
        return budgetUse;
    }

    /** The largest part of the warm-up budget that was ever sent within the overload window. */
    double highestBudgetUse() {
        return highestBudgetUse;
    }
}
