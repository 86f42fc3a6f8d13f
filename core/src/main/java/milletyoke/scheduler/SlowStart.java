package milletyoke.scheduler;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;

/**
 * Limits what this initiator may send to a recently started target within one overload window, so
 * that all initiators together stay below the bound of the target.
 */
final class SlowStart {
    /**
     * Fraction of all initiators' budget that one initiator may send in a window by load reports.
     */
    private static final double REPORTED_FRACTION = 0.25;

    /** Difference between the seeds of two random sequences: the golden ratio, as in SplitMix64. */
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

    /** Returns when the warm-up of a target ends, or when it ended. */
    long warmUpEndsAt(int target) {
        return targets.startedAt[target] + settings.limits().warmUpMicros();
    }

    /**
     * Returns the queue delay up to which a target that warms up may receive more than its budget,
     * given credible reports: with so short a delay, it served what all initiators sent, within its
     * capacity.
     */
    double tolerableQueueDelayMicros() {
        RuleLimits limits = settings.limits();
        return tuning.warmUpQueueFraction()
                * (limits.overloadFactor() - 1)
                * limits.overloadWindowMicros();
    }

    /**
     * Returns on what ground a request may be sent to a target that warms up. Within one overload
     * window of this initiator's own start, a target that started earlier gets nothing: an earlier
     * incarnation of the initiator may have spent the whole budget.
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
     * Returns whether a request fits into what this initiator may send to a target that reports
     * spare capacity: a fraction of all initiators' budgets, so that an initiator that relies on a
     * wrong report does not exhaust the bound.
     */
    boolean fitsReportBudget(PendingRequest request, int target) {
        double sent = targets.warmUpUnits(target, turn.now());
        turn.recheckBy(targets.nextWarmUpExpiry(target));
        double missing =
                sent + request.received.units() - REPORTED_FRACTION * budget.fleetUnits(target);
        return sent == 0 || isReached(missing, REPORTED_FRACTION * budget.fleetUnitsPerSecond());
    }

    /**
     * Returns whether no units are missing; otherwise notes when growth at the given rate may have
     * supplied them.
     */
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
        boolean fitsEvenShare =
                isReached(needed - budget.evenUnits(target), budget.evenUnitsPerSecond());
        boolean fitsHistory =
                isReached(
                        needed - budget.historyUnits(shardQueue, target),
                        budget.historyUnitsPerSecond(shardQueue, target));
        return fitsEvenShare || fitsHistory;
    }

    /**
     * Returns whether random draws admit a request. With many initiators, a budget may be too small
     * for any request; the odds of the draws are such that all initiators together send the sum of
     * their budgets. At most one attempt of this initiator is in flight at the target or was sent
     * there within a window.
     */
    private boolean isDrawn(PendingRequest request, int target) {
        double units = request.received.units();
        double history = budget.historyUnits(request.shardQueue, target);
        boolean isTooSmall = units > Math.max(budget.evenUnits(target), history);
        if (!isTooSmall || targets.warmUpUnits(target, turn.now()) > 0) {
            return false;
        }
        return isDrawnByEvenShare(request, target)
                || (history > 0 && isDrawnByHistory(request, target));
    }

    /**
     * Makes one draw per window, however much is requested. On average, all initiators together
     * send {@link WarmUpBudget#BOUND_FRACTION} of the bound.
     */
    private boolean isDrawnByEvenShare(PendingRequest request, int target) {
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
     * Makes one draw per request and window, which admits the fraction of the requested units that
     * the history allows beyond the even share.
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

    /**
     * Returns a random number that depends only on its sequence and number, not on the order of
     * checks.
     */
    private double draw(long sequence, long number) {
        long seed = settings.seed() + SEQUENCE_STEP * (sequence + 1) ^ number;
        return new SplittableRandom(seed).nextDouble();
    }

    /**
     * Records an attempt sent to a target that warms up; the load report of the target ends with
     * it.
     */
    void recordSend(PendingRequest request, int target, WarmUpAdmission admission) {
        sendCounts.merge(admission, 1L, Long::sum);
        request.warmUpSend = new WarmUpSend(request.received.units());
        targets.warmUpSends.get(target).addLast(request.warmUpSend);
        targets.reportValidUntil[target] = 0;
        dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
    }

    /** Returns how many attempts were sent to targets that warmed up, by ground of admission. */
    Map<WarmUpAdmission, Long> sendCounts() {
        return sendCounts;
    }

    /**
     * Records the end of the attempt in flight; one that provably never ran did not reach the
     * target.
     */
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
                dispatchQueue.invalidate(request.shardQueue); // its new target may get more now
            }
        }
    }
}
