package milletyoke.scheduler;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * The slow start of targets that were just started: what this initiator may send to such a target
 * inside one overload window, so that all initiators together keep it under its bound.
 */
final class SlowStart {
    /** Part of the bound that one initiator may send in a window by reports. */
    private static final double REPORTED_FRACTION = 0.25;

    /** Between the seeds of two random sequences: the golden ratio, as in SplitMix64. */
    private static final long SEQUENCE_STEP = 0x9E3779B97F4A7C15L;

    private final TargetTable targets;
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final SchedulerTuning tuning;
    private final WarmUpBudget budget;
    private final Map<WarmUpAdmission, Long> sendCounts = new EnumMap<>(WarmUpAdmission.class);

    SlowStart(
            TargetTable targets,
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            WarmUpBudget budget,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.budget = budget;
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
     * The queue delay up to which a target that warms up takes more than its budget, where reports
     * are credible: what all initiators sent was then served, within its capacity.
     */
    double tolerableQueueDelayMicros() {
        RuleLimits limits = settings.limits();
        return tuning.warmUpQueueFraction()
                * (limits.overloadFactor() - 1)
                * limits.overloadWindowMicros();
    }

    /**
     * Whether and why a request may be sent to a target that warms up. Just after the own start no
     * budget holds: an earlier incarnation of this initiator may have sent all of it.
     */
    WarmUpAdmission admission(PendingRequest request, int target) {
        turn.recheckBy(warmUpEndsAt(target));
        if (isOwnStartTooRecent(target)) {
            return WarmUpAdmission.NONE;
        }
        if (fitsBudget(request, target)) {
            return WarmUpAdmission.BUDGET;
        }
        return isDrawn(request, target) ? WarmUpAdmission.DRAW : WarmUpAdmission.NONE;
    }

    /**
     * Whether a request fits into what this initiator may send where a report shows room: a part of
     * all initiators' budgets, so that one that believes a wrong report does not fill the bound.
     */
    boolean fitsReportBudget(PendingRequest request, int target) {
        double sent = targets.warmUpUnits(target, turn.now());
        turn.recheckBy(targets.nextWarmUpExpiry(target));
        double missing =
                sent + request.received.units() - REPORTED_FRACTION * budget.fleetUnits(target);
        return sent == 0 || isReached(missing, REPORTED_FRACTION * budget.fleetUnitsPerSecond());
    }

    /** Whether nothing is missing; else notes when growth at that rate could have filled it. */
    private boolean isReached(double missingUnits, double unitsPerSecond) {
        if (missingUnits > 0) {
            turn.recheckBy(TokenBucket.filledAt(missingUnits, unitsPerSecond, turn.now()));
        }
        return missingUnits <= 0;
    }

    private boolean isOwnStartTooRecent(int target) {
        long ownWindowEndsAt = settings.startedAt() + settings.limits().overloadWindowMicros();
        boolean isTooRecent =
                turn.now() < ownWindowEndsAt && targets.startedAt[target] < settings.startedAt();
        if (isTooRecent) {
            turn.recheckBy(ownWindowEndsAt);
        }
        return isTooRecent;
    }

    private boolean fitsBudget(PendingRequest request, int target) {
        ShardQueue shardQueue = request.shardQueue;
        turn.recheckBy(targets.nextWarmUpExpiry(target));
        double needed = targets.warmUpUnits(target, turn.now()) + request.received.units();
        boolean fitsEvenPart =
                isReached(needed - budget.evenUnits(target), budget.evenUnitsPerSecond());
        boolean fitsHistory =
                isReached(
                        needed - budget.historyUnits(shardQueue, target),
                        budget.historyUnitsPerSecond(shardQueue, target));
        return fitsEvenPart || fitsHistory;
    }

    /**
     * Among many initiators a budget may be too small for any request. Random draws then decide, so
     * that all initiators together send what their budgets come to: at most one attempt of this
     * initiator is in flight there or was sent within a window.
     */
    private boolean isDrawn(PendingRequest request, int target) {
        double units = request.received.units();
        double history = budget.historyUnits(request.shardQueue, target);
        boolean isTooSmall = units > Math.max(budget.evenUnits(target), history);
        if (!isTooSmall || targets.warmUpUnits(target, turn.now()) > 0) {
            return false;
        }
        return isDrawnByEvenPart(request, target)
                || (history > 0 && isDrawnByHistory(request, target));
    }

    /**
     * One draw a window, whatever is requested. All initiators together send {@link
     * WarmUpBudget#BOUND_FRACTION} of the bound in the mean.
     */
    private boolean isDrawnByEvenPart(PendingRequest request, int target) {
        ShardQueue shardQueue = request.shardQueue;
        long window = budget.drawWindow(shardQueue, turn.now());
        long windowMicros = settings.limits().overloadWindowMicros();
        turn.recheckBy(shardQueue.drawsSince + (window + 1) * windowMicros);
        double draw = draw(-1L - shardQueue.shard, shardQueue.drawsSince + window);
        double missing =
                draw * request.received.units()
                        - WarmUpBudget.BOUND_FRACTION * budget.evenUnits(target);
        return isReached(missing, WarmUpBudget.BOUND_FRACTION * budget.evenUnitsPerSecond());
    }

    /**
     * One draw a request and window: that part of what is requested which history allows beyond the
     * even part.
     */
    private boolean isDrawnByHistory(PendingRequest request, int target) {
        ShardQueue shardQueue = request.shardQueue;
        long windowMicros = settings.limits().overloadWindowMicros();
        long admittedAt = request.deadlineAt - request.received.timeLeftMicros();
        long round = (turn.now() - admittedAt) / windowMicros;
        long roundStartedAt = admittedAt + round * windowMicros;
        turn.recheckBy(roundStartedAt + windowMicros);
        double allowed = budget.historyUnits(shardQueue, target) - budget.evenUnits(target);
        double requested = budget.requestedUnits(shardQueue, roundStartedAt);
        double missing = draw(request.admissionNumber, -round) * requested - allowed;
        return isReached(missing, budget.historyUnitsPerSecond(shardQueue, target));
    }

    /** Each sequence of draws is its own, so that none depends on the order of checks. */
    private double draw(long sequence, long number) {
        long seed = settings.seed() + SEQUENCE_STEP * (sequence + 1) ^ number;
        return new SplittableRandom(seed).nextDouble();
    }

    /** An attempt leaves for a target that warms up; its report is used up with that. */
    void recordSend(PendingRequest request, int target, WarmUpAdmission admission) {
        sendCounts.merge(admission, 1L, Long::sum);
        request.warmUpSend = new WarmUpSend(request.received.units());
        targets.warmUpSends.get(target).addLast(request.warmUpSend);
        targets.reportValidUntil[target] = 0;
        dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
    }

    /** How many attempts were sent to targets that warmed up, by why they were admitted. */
    Map<WarmUpAdmission, Long> sendCounts() {
        return sendCounts;
    }

    /** The attempt in flight ended; one that provably never ran did not reach the target. */
    void recordEnd(PendingRequest request, int target, Outcome outcome) {
        WarmUpSend send = request.warmUpSend;
        request.warmUpSend = null;
        if (send != null) {
            boolean hasNeverRun =
                    outcome == Outcome.NOT_STARTED || outcome == Outcome.NO_CONNECTION;
            long windowMicros = hasNeverRun ? 0 : settings.limits().overloadWindowMicros();
            send.countedUntil = turn.now() + windowMicros;
            dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
        } else if (outcome == Outcome.SUCCEEDED && !isWarmingUp(target)) {
            budget.recordServed(request);
            if (request.shardQueue.target != target) {
                dispatchQueue.invalidate(request.shardQueue); // its new target may get more
            }
        }
    }
}
