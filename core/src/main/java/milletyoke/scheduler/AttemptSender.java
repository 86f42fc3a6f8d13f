package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;

/** Sends attempts. The only class that does, and only what {@link SendGuard} permits. */
final class AttemptSender {
    private final TargetTable targets;
    private final Turn turn;
    private final SendGuard guard;
    private final RetryBudget retryBudget;
    private final RateLimits rateLimits;
    private final Reservations reservations;
    private final SlowStart slowStart;
    private final TargetHealth targetHealth;
    private final LoadReports loadReports;

    AttemptSender(
            TargetTable targets,
            Turn turn,
            SendGuard guard,
            RetryBudget retryBudget,
            RateLimits rateLimits,
            Reservations reservations,
            SlowStart slowStart,
            TargetHealth targetHealth,
            LoadReports loadReports) {
        this.targets = targets;
        this.turn = turn;
        this.guard = guard;
        this.retryBudget = retryBudget;
        this.rateLimits = rateLimits;
        this.reservations = reservations;
        this.slowStart = slowStart;
        this.targetHealth = targetHealth;
        this.loadReports = loadReports;
    }

    /** Sends an attempt of the request to the target; returns false if a rule forbids it. */
    boolean trySend(PendingRequest request, int target) {
        if (!guard.permits(request, target)) {
            return false;
        }
        if (request.attempts > 0) {
            retryBudget.recordRetry(request);
        }
        rateLimits.reserve(request);
        reservations.spend(request);
        loadReports.recordSend(request, target);
        if (slowStart.isWarmingUp(target)) {
            slowStart.recordSend(request, target, guard.warmUpAdmission(request, target));
        }
        recordInFlight(request, target);
        targetHealth.scheduleCheck(target);
        turn.add(
                new Action.SendAttempt(
                        request.received.id(), request.deadlineAt, targets.id[target]));
        return true;
    }

    private void recordInFlight(PendingRequest request, int target) {
        if (targets.inFlight[target] == 0 && targets.nextTrialAt[target] == 0) {
            targets.lastResponseAt[target] = turn.now(); // the time without response starts now
        }
        targets.trialAllowed[target] = false;
        request.attempts++;
        request.presumedLost = false;
        request.inFlightTarget = target;
        request.inFlightIncarnation = targets.incarnation[target];
        request.sentAt = turn.now();
        targets.inFlight[target]++;
        targets.inFlightRequests.get(target).add(request);
    }
}
