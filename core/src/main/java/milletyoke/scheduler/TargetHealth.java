package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Unresponsive targets and their half-open trials, as in a circuit breaker, and attempts that are
 * presumed lost.
 */
final class TargetHealth {
    private final TargetTable targets;
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final SchedulerTuning tuning;

    TargetHealth(
            TargetTable targets,
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            LoadEstimates estimates,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.estimates = estimates;
        this.tuning = tuning;
    }

    /**
     * Sets when this target is to be checked next: no later than it can be found unresponsive, or
     * an attempt at it lost.
     */
    void scheduleCheck(int target) {
        long recoveredAt = turn.recoveredAt();
        long unresponsiveAt =
                Math.max(recoveredAt, targets.lastAnswerAt[target])
                        + (long) patienceMicros(target)
                        + 1;
        long due = targets.inFlight[target] > 0 ? unresponsiveAt : IndexedTimerQueue.NEVER;
        due = targets.nextTrialAt[target] > 0 ? targets.nextTrialAt[target] : due;
        for (PendingRequest request : targets.inFlightRequests.get(target)) {
            if (targets.newestAnsweredSentAt[target] > request.sentAt) {
                double longest =
                        tuning.patienceFactor()
                                * targets.latencyMicros[target]
                                * Math.max(
                                        1, request.received.units() / estimates.meanUnitsBound());
                due = Math.min(due, Math.max(recoveredAt, request.sentAt) + (long) longest);
            }
        }
        targets.checkTimes.set(target, due);
    }

    /** All targets are to be checked in this turn. */
    void scheduleAllChecks() {
        targets.checkTimes.setAll(targets.count, turn.now());
    }

    /** Checks the targets that are due, then all attempts in flight there, oldest request first. */
    void checkDueTargets() {
        int[] due = targets.checkTimes.removeDue(turn.now());
        List<PendingRequest> inFlight = new ArrayList<>();
        for (int target : due) {
            checkResponsive(target);
            inFlight.addAll(targets.inFlightRequests.get(target));
        }
        inFlight.sort(PendingRequest.BY_ADMISSION);
        inFlight.forEach(this::checkLost);
        for (int target : due) {
            scheduleCheck(target);
        }
    }

    /**
     * A target with attempts in flight that answered none for far longer than of late gets trials,
     * at growing intervals.
     */
    private void checkResponsive(int target) {
        long now = turn.now();
        long quietMicros =
                Math.max(
                        now - Math.max(turn.recoveredAt(), targets.lastAnswerAt[target]),
                        settings.shortestObjectiveMicros() / 2);
        boolean isResponsive = targets.nextTrialAt[target] == 0;
        if (isResponsive && targets.inFlight[target] > 0 && quietMicros > patienceMicros(target)) {
            markUnresponsive(target);
        } else if (!isResponsive && now >= targets.nextTrialAt[target]) {
            long longest = tuning.maxBackoffObjectives() * settings.shortestObjectiveMicros();
            targets.nextTrialAt[target] = now + Math.min(quietMicros, longest);
            startTrial(target);
        }
    }

    private void startTrial(int target) {
        boolean canProbe = settings.capabilities().canProbe();
        targets.trialAllowed[target] = !canProbe;
        dispatchQueue.markForService(dispatchQueue.shardQueue(targets.shardOf[target]));
        if (canProbe && targets.usable[target]) {
            turn.add(new Action.SendProbe(targets.id[target]));
        }
    }

    private double patienceMicros(int target) {
        double lastLatency = (double) targets.lastLatencyMicros[target];
        double latency = Math.max(targets.latencyMicros[target], lastLatency);
        long least = settings.shortestObjectiveMicros() / 2;
        return Math.max((double) least, tuning.patienceFactor() * latency);
    }

    /**
     * An attempt that later ones overtook long ago is presumed lost. Guards the concurrency limit
     * against attempts that vanish one by one. Could harm where a target serves in no order; so a
     * non-idempotent request is not cancelled.
     */
    private void checkLost(PendingRequest request) {
        int target = request.inFlightTarget;
        boolean isOvertaken =
                target >= 0
                        && !request.presumedLost
                        && targets.newestAnsweredSentAt[target] > request.sentAt;
        if (!isOvertaken) {
            return;
        }
        double size = Math.max(1, request.received.units() / estimates.meanUnits());
        long waitedMicros = turn.now() - Math.max(turn.recoveredAt(), request.sentAt);
        if (waitedMicros > tuning.patienceFactor() * targets.latencyMicros[target] * size) {
            presumeLost(request, target);
        }
    }

    private void presumeLost(PendingRequest request, int target) {
        releaseSlot(request, target);
        targets.inFlightRequests.get(target).remove(request);
        request.presumedLost = true;
        if (settings.capabilities().canCancel()
                && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
            turn.add(new Action.CancelAttempt(request.received.id(), request.attempts - 1));
        }
    }

    /** The latest attempt of a request no longer counts against its target's limit. */
    void releaseSlot(PendingRequest request, int target) {
        if (!request.presumedLost && request.inFlightIncarnation == targets.incarnation[target]) {
            targets.inFlight[target]--;
        }
        dispatchQueue.markForService(dispatchQueue.shardQueue(targets.shardOf[target]));
    }

    /** Any answer shows that the target is responsive. */
    void recordAnswer(int target) {
        targets.lastAnswerAt[target] = turn.now();
        targets.nextTrialAt[target] = 0;
    }

    /**
     * Guards against a target that hangs, pauses long, is down or cannot be reached, whatever the
     * endpoint list says; any answer ends it. Could harm where single connections fail by chance.
     */
    void markUnresponsive(int target) {
        if (targets.nextTrialAt[target] == 0) {
            targets.nextTrialAt[target] = turn.now();
            targets.trialAllowed[target] = false;
            dispatchQueue.markForService(dispatchQueue.shardQueue(targets.shardOf[target]));
        }
    }
}
