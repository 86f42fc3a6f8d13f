package milletyoke.scheduler;

import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * The slow start of targets that were just started: this initiator's even part of the units that
 * such a target bears inside one overload window.
 */
final class SlowStart {
    private static final double MICROS_PER_SECOND = 1e6;

    private final TargetTable targets;
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SchedulerTuning tuning;

    SlowStart(
            TargetTable targets,
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.tuning = tuning;
    }

    boolean isWarmingUp(int target) {
        return settings.limits().overloadWindowMicros() > 0
                && targets.startedAt[target] > 0
                && turn.now() < warmUpEndsAt(target);
    }

    /** When a target's warm-up ends, or ended. */
    long warmUpEndsAt(int target) {
        return targets.startedAt[target] + settings.limits().warmUpMicros();
    }

    /**
     * The queue delay up to which a target that warms up takes more than its budget: what all
     * initiators sent was then served, within its capacity.
     */
    double tolerableQueueDelayMicros() {
        RuleLimits limits = settings.limits();
        return tuning.warmUpQueueFraction()
                * (limits.overloadFactor() - 1)
                * limits.overloadWindowMicros();
    }

    /**
     * Whether a request fits into this initiator's budget at a target that warms up. Just after the
     * start there is none: an earlier incarnation of this initiator may have sent all of it.
     */
    boolean hasBudgetFor(PendingRequest request, int target) {
        long windowMicros = settings.limits().overloadWindowMicros();
        turn.recheckBy(warmUpEndsAt(target));
        long ownWindowEndsAt = settings.startedAt() + windowMicros;
        if (turn.now() < ownWindowEndsAt && targets.startedAt[target] < settings.startedAt()) {
            turn.recheckBy(ownWindowEndsAt);
            return false;
        }
        double missing =
                targets.warmUpUnitsSince(target, turn.now() - windowMicros)
                        + request.received.units()
                        - budgetUnits(target);
        turn.recheckBy(targets.oldestWarmUpSendAt(target) + windowMicros);
        if (missing > 0) {
            turn.recheckBy(TokenBucket.filledAt(missing, budgetUnitsPerSecond(), turn.now()));
        }
        return missing <= 0;
    }

    /** An attempt leaves for a target that may be warming up. */
    void recordSend(PendingRequest request, int target) {
        if (isWarmingUp(target)) {
            targets.warmUpSends
                    .get(target)
                    .addLast(new WarmUpSend(turn.now(), request.received.units()));
            targets.reportValidUntil[target] = 0;
            dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
        }
    }

    /** By how much a second the budget grows while a target warms up. */
    private double budgetUnitsPerSecond() {
        RuleLimits limits = settings.limits();
        double share = limits.initialFraction();
        double grown = share > 0 ? (1 - share) / share / limits.warmUpMicros() : 0;
        return MICROS_PER_SECOND
                * limits.warmUpBudgetUnits()
                * grown
                / Math.max(1, settings.initiatorCount());
    }

    /**
     * The budget grows as the target warms up, which is never slower than evenly; it counts as of
     * the start of the window.
     */
    private double budgetUnits(int target) {
        RuleLimits limits = settings.limits();
        double share = limits.initialFraction();
        long windowStart = turn.now() - limits.overloadWindowMicros();
        double warmed =
                Math.max(0, windowStart - targets.startedAt[target])
                        / (double) limits.warmUpMicros();
        double grown = share > 0 ? (share + (1 - share) * warmed) / share : 1;
        return limits.warmUpBudgetUnits() * grown / Math.max(1, settings.initiatorCount());
    }
}
