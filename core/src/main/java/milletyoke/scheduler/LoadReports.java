package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;

/**
 * What targets report of the load that all initiators put on them: probes sent when answers are
 * late, the queue delay they report, for how long it holds, and which requests may join it.
 */
final class LoadReports {
    /** Stands for a queue delay where no probe has reported one. */
    static final double NO_REPORT = -1;

    private final TargetTable targets;
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final Turn turn;
    private final LoadEstimates estimates;
    private final SlowStart slowStart;
    private final Reservations reservations;
    private final SchedulerTuning tuning;
    private double lateShare;
    private boolean isSuspect;

    private final ReportCredibility credibility;

    LoadReports(
            TargetTable targets,
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            Turn turn,
            LoadEstimates estimates,
            SlowStart slowStart,
            Reservations reservations,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.turn = turn;
        this.estimates = estimates;
        this.slowStart = slowStart;
        this.reservations = reservations;
        this.tuning = tuning;
        credibility = new ReportCredibility(estimates, tuning);
    }

    /** An attempt leaves: notes what a probe has just reported of its target. */
    void recordSend(PendingRequest request, int target) {
        boolean isProbed = hasReport(target) && targets.isReportOfProbe[target];
        request.reportedDelayMicros = isProbed ? targets.queueDelayMicros[target] : NO_REPORT;
    }

    /** The attempt in flight ended: checks what was reported as it left. */
    void recordEnd(PendingRequest request, Event.AttemptEnded ended) {
        double reported = request.reportedDelayMicros;
        request.reportedDelayMicros = NO_REPORT;
        boolean showsLatency =
                ended.outcome() == Outcome.SUCCEEDED || ended.outcome() == Outcome.TIMED_OUT;
        if (reported == NO_REPORT || !showsLatency) {
            return;
        }
        boolean wasCredible = credibility.isCredible();
        credibility.record(reported, ended.latencyMicros(), slowStart.tolerableQueueDelayMicros());
        if (!wasCredible && credibility.isCredible()) {
            dispatchQueue.invalidateAll(); // targets that warm up may now take more
        }
    }

    /** The smoothed part of answers that reported long queues. */
    double lateShare() {
        return lateShare;
    }

    /** Whether the part of late answers crossed the mark from which probes go first. */
    boolean hasSuspicionChanged() {
        boolean wasSuspect = isSuspect;
        isSuspect = lateShare >= tuning.suspectLateShare();
        return wasSuspect != isSuspect;
    }

    /**
     * Whether to wait for a probe, sent now if the last one is old. Where answers come late among
     * many initiators, one goes first: each hears too seldom of the queue that limits of one
     * attempt fill. Guards against any load that others bring; could harm where probes are dear, or
     * answered later than work.
     */
    boolean mustAwaitProbe(int target) {
        boolean canProbe =
                settings.capabilities().canProbe()
                        && target >= 0
                        && targets.nextTrialAt[target] == 0;
        boolean isTargetSuspect =
                canProbe
                        && (lateShare >= tuning.suspectLateShare()
                                || slowStart.isWarmingUp(target));
        if (isTargetSuspect && targets.probeSentAt[target] == 0 && !hasReport(target)) {
            targets.probeSentAt[target] = turn.now();
            turn.add(new Action.SendProbe(targets.id[target]));
        }
        return isTargetSuspect && targets.probeSentAt[target] > 0;
    }

    /** Whether a report of the target's load holds now. */
    boolean hasReport(int target) {
        if (target < 0 || turn.now() >= targets.reportValidUntil[target]) {
            return false;
        }
        turn.recheckBy(targets.reportValidUntil[target]);
        return true;
    }

    /** What a request sent now is expected to take there, microseconds. */
    double expectedLatencyMicros(int target) {
        double usual = usualLatencyMicros(target);
        return hasReport(target)
                ? targets.queueDelayMicros[target] + estimates.unloadedLatencyMicros()
                : usual;
    }

    /** The latency without a report; a measured one is not used for long without a new answer. */
    private double usualLatencyMicros(int target) {
        if (target < 0) {
            turn.recheckBy(turn.now());
            return 0;
        }
        long longest = tuning.maxBackoffObjectives() * settings.shortestObjectiveMicros();
        long oldAt = targets.lastAnswerAt[target] + longest + 1;
        boolean isOld = turn.now() >= oldAt;
        if (!isOld) {
            turn.recheckBy(oldAt);
        }
        if (targets.probeSentAt[target] > 0) {
            return 0;
        }
        return isOld ? estimates.unloadedLatencyMicros() : targets.latencyMicros[target];
    }

    /**
     * Whether a request may join what is reported to be queued at the target; the random threshold
     * keeps initiators out of step.
     */
    boolean canJoin(PendingRequest request, int target) {
        double fraction =
                reservations.isBelowReservation(request)
                        ? tuning.joinFractionBelowReservation()
                        : tuning.joinFractionOthers() * targets.joinThreshold[target];
        return !hasReport(target)
                || targets.queueDelayMicros[target]
                        <= fraction * settings.shortestObjectiveMicros();
    }

    /** Whether a probe just reported a queue delay of at most that much, and can be believed. */
    boolean reportsQueueDelayWithin(int target, double delayMicros) {
        return credibility.isCredible()
                && hasReport(target)
                && targets.queueDelayMicros[target] <= delayMicros;
    }

    /** A load report: so much is queued at the target, and that holds for so long. */
    void record(int target, double queueDelayMicros, long validMicros) {
        targets.queueDelayMicros[target] = queueDelayMicros;
        targets.isReportOfProbe[target] = false;
        targets.reportValidUntil[target] = turn.now() + validMicros;
        targets.joinThreshold[target] = settings.random().nextDouble();
        dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
        long longDelayMicros = settings.shortestObjectiveMicros() / 2;
        boolean isLong = queueDelayMicros > longDelayMicros;
        lateShare += tuning.smoothing() * ((isLong ? 1 : 0) - lateShare);
    }

    void recordPromptAnswer() {
        lateShare -= tuning.smoothing() * lateShare;
    }

    /** A probe may be answered beside the work, so its success only allows one trial attempt. */
    void recordProbe(Event.ProbeEnded probe, int target) {
        boolean isAnswered = probe.outcome() == Outcome.SUCCEEDED;
        targets.trialAllowed[target] |= isAnswered;
        targets.probeSentAt[target] = 0;
        double unloaded = estimates.unloadedLatencyMicros();
        double ifUnanswered =
                slowStart.isWarmingUp(target) ? settings.shortestObjectiveMicros() : 0;
        double queueDelayMicros =
                isAnswered
                        ? Math.max((double) probe.latencyMicros(), probe.queueLength() * unloaded)
                        : ifUnanswered;
        record(target, queueDelayMicros, settings.shortestObjectiveMicros() / 2);
        targets.isReportOfProbe[target] = isAnswered;
    }
}
