package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * How many units this initiator may send to a target that warms up in one overload window. There
 * are two bases, and neither is what a target reports of itself:
 *
 * <ul>
 *   <li>the even part: of what the settings say that any such target bears from all initiators;
 *   <li>the history: what this initiator's shard was served by its warm target of late, times the
 *       part of its capacity that the new target surely has, times a part of the overload factor.
 *       All initiators' histories together are at most the capacity of the warm target, so these
 *       budgets come to at most that part of the bound.
 * </ul>
 */
final class WarmUpBudget {
    /** Over which history is kept, in overload windows: some times the spacing of rare requests. */
    private static final int HISTORY_WINDOWS = 8;

    /**
     * Part of the bound N that draws by even parts, or histories, come to in the mean: it leaves
     * four standard deviations to N + 2 sqrt(N) + 2, whatever N is.
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
     * What all initiators together may send, by the settings, units a window. It grows as the
     * target warms up, which is never slower than evenly.
     */
    double fleetUnits(int target) {
        RuleLimits limits = settings.limits();
        double grown =
                limits.initialFraction() > 0
                        ? capacityFraction(target) / limits.initialFraction()
                        : 1;
        return limits.warmUpBudgetUnits() * grown;
    }

    /** This initiator's even part of that. */
    double evenUnits(int target) {
        return fleetUnits(target) / Math.max(1, settings.initiatorCount());
    }

    /** By how much a second the budget of all initiators grows while a target warms up. */
    double fleetUnitsPerSecond() {
        double share = settings.limits().initialFraction();
        return share > 0
                ? settings.limits().warmUpBudgetUnits() / share * capacityGrowthPerSecond()
                : 0;
    }

    /** By how much a second this initiator's even part grows. */
    double evenUnitsPerSecond() {
        return fleetUnitsPerSecond() / Math.max(1, settings.initiatorCount());
    }

    /** The budget by history, units a window. */
    double historyUnits(ShardQueue shardQueue, int target) {
        return servedUnits(shardQueue, target) * capacityFraction(target);
    }

    /** By how much a second the budget by history grows. */
    double historyUnitsPerSecond(ShardQueue shardQueue, int target) {
        return servedUnits(shardQueue, target) * capacityGrowthPerSecond();
    }

    /**
     * What the shard would get at full capacity, units a window: a part of the overload factor
     * times what its warm targets served until this one started.
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
     * What was requested of the shard until then, units a window; what was requested since is
     * counted with it.
     */
    double requestedUnits(ShardQueue shardQueue, long time) {
        double windowMicros = (double) settings.limits().overloadWindowMicros();
        double observedWindows = (time - settings.startedAt()) / windowMicros;
        double weight = HISTORY_WINDOWS * -StrictMath.expm1(-observedWindows / HISTORY_WINDOWS);
        return shardQueue.requestedUnits.at(time) / weight;
    }

    /** A request is admitted. */
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
     * The number of the window for which a draw by the even part holds. Windows follow each other
     * while requests come; after a window without any they begin anew with the next request, so
     * that each initiator draws once a window, also where all begin to ask at one moment.
     */
    long drawWindow(ShardQueue shardQueue, long time) {
        return Math.floorDiv(
                time - shardQueue.drawsSince, settings.limits().overloadWindowMicros());
    }

    /** A warm target has served the request. */
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

    /** The part of its full capacity that a target surely had at the start of the window. */
    private double capacityFraction(int target) {
        RuleLimits limits = settings.limits();
        double share = limits.initialFraction();
        long windowStart = turn.now() - limits.overloadWindowMicros();
        double warmed =
                Math.max(0, windowStart - targets.startedAt[target])
                        / (double) limits.warmUpMicros();
        return share + (1 - share) * warmed;
    }
}
