package milletyoke.standins;

import java.util.ArrayDeque;

/**
 * Tracks the warm-up of a target after its start, and whether the target is overloaded meanwhile.
 * Guarded by the target's lock; times are microseconds.
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

    /** Returns the fraction of its full capacity that the target has reached. */
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
     * Counts work that arrives at the target while it is warming up.
     *
     * @return whether the work of the last overload window exceeds the warm-up budget
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

    /** Returns the fraction of the warm-up budget used in the latest overload window. */
    double budgetUse() {
        return budgetUse;
    }

    /** Returns the largest fraction of the warm-up budget ever used in one overload window. */
    double highestBudgetUse() {
        return highestBudgetUse;
    }
}
