package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * Computes how many units this initiator may send in one overload window to a target that warms up.
 * The budget has two bases, and neither relies on what a target reports about itself:
 *
 * <ul>
 *   <li>the even share: this initiator's part of what, according to the settings, such a target can
 *       take from all initiators;
 *   <li>the history: the units that warm targets recently served of this initiator's requests to
 *       the shard, times the fraction of its capacity that the new target has for certain, times a
 *       fraction of the overload factor. The histories of all initiators together are at most the
 *       capacity of the warm target, so these budgets add up to at most that fraction of the bound.
 * </ul>
 */
final class WarmUpBudget {
    /**
     * Time constant of the history in overload windows: several times the interval of rare
     * requests.
     */
    private static final int HISTORY_WINDOWS = 8;

    /**
     * Fraction of the bound N that draws by even shares, or by histories, add up to on average. It
     * leaves four standard deviations to N + 2 sqrt(N) + 2 for any N.
     */
    static final double BOUND_FRACTION = 0.7;

    private static final double MICROS_PER_SECOND = 1e6;

    private final TargetTable targets;
    private final ActiveSettings settings;
    private final Turn turn;

    WarmUpBudget(TargetTable targets, ActiveSettings settings, Turn turn) {
        this.targets = targets;
        this.settings = settings;
        this.turn = turn;
    }

    /**
     * Returns what all initiators together may send by the settings, in units per window. The value
     * grows with the capacity of the target, which never warms up slower than linearly.
     */
    double fleetUnits(int target) {
        RuleLimits limits = settings.limits();
        double growthFactor =
                limits.initialFraction() > 0
                        ? capacityFraction(target) / limits.initialFraction()
                        : 1;
        return limits.warmUpBudgetUnits() * growthFactor;
    }

    /** Returns the even share of this initiator in {@link #fleetUnits}, in units per window. */
    double evenUnits(int target) {
        return fleetUnits(target) / Math.max(1, settings.initiatorCount());
    }

    /** Returns the growth per second of all initiators' budget while a target warms up. */
    double fleetUnitsPerSecond() {
        double initialFraction = settings.limits().initialFraction();
        return initialFraction > 0
                ? settings.limits().warmUpBudgetUnits()
                        / initialFraction
                        * capacityGrowthPerSecond()
                : 0;
    }

    /** Returns the growth per second of this initiator's even share. */
    double evenUnitsPerSecond() {
        return fleetUnitsPerSecond() / Math.max(1, settings.initiatorCount());
    }

    /** Returns the budget by history, in units per window. */
    double historyUnits(ShardQueue shardQueue, int target) {
        return servedUnits(shardQueue, target) * capacityFraction(target);
    }

    /** Returns the growth per second of the budget by history. */
    double historyUnitsPerSecond(ShardQueue shardQueue, int target) {
        return servedUnits(shardQueue, target) * capacityGrowthPerSecond();
    }

    /**
     * Returns what the shard would get at full capacity, in units per window: a fraction of the
     * overload factor times what its warm targets served until the given target started.
     */
    private double servedUnits(ShardQueue shardQueue, int target) {
        DecayingSum served = shardQueue.servedUnits;
        double unitsPerWindow =
                served == null ? 0 : served.at(targets.startedAt[target]) / HISTORY_WINDOWS;
        return BOUND_FRACTION * settings.limits().overloadFactor() * unitsPerWindow;
    }

    private double capacityGrowthPerSecond() {
        RuleLimits limits = settings.limits();
        return MICROS_PER_SECOND * (1 - limits.initialFraction()) / limits.warmUpMicros();
    }

    /**
     * Returns the units per window that were requested of the shard up to the given time. Units
     * requested since then are counted in full.
     */
    double requestedUnits(ShardQueue shardQueue, long time) {
        double windowMicros = (double) settings.limits().overloadWindowMicros();
        double observedWindows = (time - settings.startedAt()) / windowMicros;
        double weight = HISTORY_WINDOWS * -StrictMath.expm1(-observedWindows / HISTORY_WINDOWS);
        return shardQueue.requestedUnits.at(time) / weight;
    }

    /** Records the admission of a request. */
    void recordRequested(PendingRequest request) {
        if (settings.limits().overloadWindowMicros() > 0) {
            ShardQueue shardQueue = request.shardQueue;
            if (shardQueue.requestedUnits == null) {
                shardQueue.requestedUnits = newHistory();
            }
            shardQueue.requestedUnits.add(request.received.units(), turn.now());
            if (drawWindow(shardQueue, turn.now())
                    > drawWindow(shardQueue, shardQueue.lastRequestedAt) + 1) {
                shardQueue.drawsSince = turn.now();
            }
            shardQueue.lastRequestedAt = turn.now();
        }
    }

    /**
     * Returns the number of the window for which a draw by the even share holds. Windows follow
     * each other while requests arrive. After a window without requests they restart with the next
     * request, so that each initiator draws once per window even if all initiators start to send at
     * the same moment.
     */
    long drawWindow(ShardQueue shardQueue, long time) {
        return Math.floorDiv(
                time - shardQueue.drawsSince, settings.limits().overloadWindowMicros());
    }

    /** Records a request that a warm target served. */
    void recordServed(PendingRequest request) {
        if (settings.limits().overloadWindowMicros() > 0) {
            ShardQueue shardQueue = request.shardQueue;
            if (shardQueue.servedUnits == null) {
                shardQueue.servedUnits = newHistory();
            }
            shardQueue.servedUnits.add(request.received.units(), turn.now());
        }
    }

    private DecayingSum newHistory() {
        return new DecayingSum((double) HISTORY_WINDOWS * settings.limits().overloadWindowMicros());
    }

    /**
     * Returns the fraction of its full capacity that a target had for certain at the start of the
     * window.
     */
    private double capacityFraction(int target) {
        RuleLimits limits = settings.limits();
        double initialFraction = limits.initialFraction();
        long windowStart = turn.now() - limits.overloadWindowMicros();
        double warmedFraction =
                Math.max(0, windowStart - targets.startedAt[target])
                        / (double) limits.warmUpMicros();
        return initialFraction + (1 - initialFraction) * warmedFraction;
    }
}
