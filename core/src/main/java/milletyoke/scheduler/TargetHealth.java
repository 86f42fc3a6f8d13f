package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;

/**
 * Detects unresponsive targets and readmits them by half-open trials, as a circuit breaker does;
 * also detects attempts that are presumed lost.
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
     * Schedules the next check of a target, no later than it can be found unresponsive or an
     * attempt there can be presumed lost.
     */
    void scheduleCheck(int target) {
        long lastStallEndedAt = turn.lastStallEndedAt();
        long unresponsiveAt =
                Math.max(lastStallEndedAt, targets.lastResponseAt[target])
                        + (long) unresponsiveAfterMicros(target)
                        + 1;
        long due = targets.inFlight[target] > 0 ? unresponsiveAt : IndexedTimerQueue.NEVER;
        due = targets.nextTrialAt[target] > 0 ? targets.nextTrialAt[target] : due;
        for (PendingRequest request : targets.inFlightRequests.get(target)) {
            if (targets.newestRespondedSentAt[target] > request.sentAt) {
                double overdueMicros =
                        tuning.unresponsiveFactor()
                                * targets.latencyMicros[target]
                                * Math.max(
                                        1, request.received.units() / estimates.meanUnitsBound());
                due =
                        Math.min(
                                due,
                                Math.max(lastStallEndedAt, request.sentAt) + (long) overdueMicros);
            }
        }
        targets.checkTimes.set(target, due);
    }

    /** Schedules a check of all targets for this turn. */
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
     * Marks a target unresponsive if it has attempts in flight and has not responded for several
     * times its recent latency. Starts the due trials of an unresponsive target, at growing
     * intervals.
     */
    private void checkResponsive(int target) {
        long now = turn.now();
        long silentMicros =
                Math.max(
                        now - Math.max(turn.lastStallEndedAt(), targets.lastResponseAt[target]),
                        settings.shortestObjectiveMicros() / 2);
        boolean isResponsive = targets.nextTrialAt[target] == 0;
        if (isResponsive
                && targets.inFlight[target] > 0
                && silentMicros > unresponsiveAfterMicros(target)) {
            markUnresponsive(target);
        } else if (!isResponsive && now >= targets.nextTrialAt[target]) {
            long maxIntervalMicros =
                    tuning.maxBackoffObjectives() * settings.shortestObjectiveMicros();
            targets.nextTrialAt[target] = now + Math.min(silentMicros, maxIntervalMicros);
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

    private double unresponsiveAfterMicros(int target) {
        double lastLatency = (double) targets.lastLatencyMicros[target];
        double latency = Math.max(targets.latencyMicros[target], lastLatency);
        long minMicros = settings.shortestObjectiveMicros() / 2;
        return Math.max((double) minMicros, tuning.unresponsiveFactor() * latency);
    }

    /**
     * Presumes an attempt lost if one sent after it got a response and its own is long overdue.
     * Guards the concurrency limit against attempts that vanish one by one. This is harmful where a
     * target serves out of order; therefore a non-idempotent request is not cancelled.
     */
    private void checkLost(PendingRequest request) {
        int target = request.inFlightTarget;
        boolean isOvertaken =
                target >= 0
                        && !request.presumedLost
                        && targets.newestRespondedSentAt[target] > request.sentAt;
        if (!isOvertaken) {
            return;
        }
        double sizeFactor = Math.max(1, request.received.units() / estimates.meanUnits());
        long waitedMicros = turn.now() - Math.max(turn.lastStallEndedAt(), request.sentAt);
        if (waitedMicros
                > tuning.unresponsiveFactor() * targets.latencyMicros[target] * sizeFactor) {
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

    /** Stops counting the latest attempt of a request against its target's concurrency limit. */
    void releaseSlot(PendingRequest request, int target) {
        if (!request.presumedLost && request.inFlightIncarnation == targets.incarnation[target]) {
            targets.inFlight[target]--;
        }
        dispatchQueue.markForService(dispatchQueue.shardQueue(targets.shardOf[target]));
    }

    /** Records a response; whatever it is, it shows that the target is responsive. */
    void recordResponse(int target) {
        targets.lastResponseAt[target] = turn.now();
        targets.nextTrialAt[target] = 0;
    }

    /**
     * Marks a target unresponsive until it responds. Guards against a target that hangs, pauses for
     * long, is down or cannot be reached, whatever the endpoint list says. This is harmful where
     * single connections fail by chance.
     */
    void markUnresponsive(int target) {
        if (targets.nextTrialAt[target] == 0) {
            targets.nextTrialAt[target] = turn.now();
            targets.trialAllowed[target] = false;
            dispatchQueue.markForService(dispatchQueue.shardQueue(targets.shardOf[target]));
        }
    }
}
