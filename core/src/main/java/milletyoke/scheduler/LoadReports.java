package milletyoke.scheduler;

import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;

/**
 * Tracks the load that targets report, which all initiators cause: sends probes when responses are
 * late, keeps each reported queue delay for as long as it is valid, and decides which requests may
 * join the reported queue.
 */
final class LoadReports {
    /** Stands for the queue delay where no probe has reported one. */
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
    private boolean isOverloadSuspected;

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

    /** Records the sending of an attempt, with the queue delay that a probe has just reported. */
    void recordSend(PendingRequest request, int target) {
        boolean isProbed = hasReport(target) && targets.isReportOfProbe[target];
        request.reportedDelayMicros = isProbed ? targets.queueDelayMicros[target] : NO_REPORT;
    }

    /**
     * Records the end of the attempt in flight, and checks the report that was valid at its
     * sending.
     */
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
            dispatchQueue.invalidateAll(); // targets that warm up may now get more
        }
    }

    /** Returns the smoothed share of responses and probes that indicated a long queue. */
    double lateShare() {
        return lateShare;
    }

    /**
     * Returns whether the share of late responses has crossed the threshold for sending probes
     * first.
     */
    boolean hasOverloadSuspicionChanged() {
        boolean wasOverloadSuspected = isOverloadSuspected;
        isOverloadSuspected = lateShare >= tuning.suspectLateShare();
        return wasOverloadSuspected != isOverloadSuspected;
    }

    /**
     * Returns whether requests have to wait for a probe, which is sent now if no report is valid.
     * Where responses are late among many initiators, a probe goes first: at concurrency limits of
     * one attempt, each initiator gets responses too rarely to notice the queue that all of them
     * build up. Guards against load from any other source. This is harmful where probes are
     * expensive, or answered later than work.
     */
    boolean mustAwaitProbe(int target) {
        boolean canProbe =
                settings.capabilities().canProbe()
                        && target >= 0
                        && targets.nextTrialAt[target] == 0;
        boolean isProbeNeeded =
                canProbe
                        && (lateShare >= tuning.suspectLateShare()
                                || slowStart.isWarmingUp(target));
        if (isProbeNeeded && targets.probeSentAt[target] == 0 && !hasReport(target)) {
            targets.probeSentAt[target] = turn.now();
            turn.add(new Action.SendProbe(targets.id[target]));
        }
        return isProbeNeeded && targets.probeSentAt[target] > 0;
    }

    /** Returns whether a report of the load of the target is valid now. */
    boolean hasReport(int target) {
        if (target < 0 || turn.now() >= targets.reportValidUntil[target]) {
            return false;
        }
        turn.recheckBy(targets.reportValidUntil[target]);
        return true;
    }

    /** Returns the expected latency of a request sent to the target now, microseconds. */
    double expectedLatencyMicros(int target) {
        double measuredMicros = measuredLatencyMicros(target);
        return hasReport(target)
                ? targets.queueDelayMicros[target] + estimates.unloadedLatencyMicros()
                : measuredMicros;
    }

    /**
     * Returns the expected latency without a report; a measurement is used for a limited time only.
     */
    private double measuredLatencyMicros(int target) {
        if (target < 0) {
            turn.recheckBy(turn.now());
            return 0;
        }
        long maxAgeMicros = tuning.maxBackoffObjectives() * settings.shortestObjectiveMicros();
        long staleAt = targets.lastResponseAt[target] + maxAgeMicros + 1;
        boolean isStale = turn.now() >= staleAt;
        if (!isStale) {
            turn.recheckBy(staleAt);
        }
        if (targets.probeSentAt[target] > 0) {
            return 0;
        }
        return isStale ? estimates.unloadedLatencyMicros() : targets.latencyMicros[target];
    }

    /**
     * Returns whether a request may join the queue that the target reports. The random threshold
     * keeps initiators from acting in step.
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

    /** Returns whether a credible report shows a queue delay of at most {@code delayMicros}. */
    boolean reportsQueueDelayWithin(int target, double delayMicros) {
        return credibility.isCredible()
                && hasReport(target)
                && targets.queueDelayMicros[target] <= delayMicros;
    }

    /** Records the queue delay of a target, valid for the given time. */
    void record(int target, double queueDelayMicros, long validMicros) {
        targets.queueDelayMicros[target] = queueDelayMicros;
        targets.isReportOfProbe[target] = false;
        targets.reportValidUntil[target] = turn.now() + validMicros;
        targets.joinThreshold[target] = settings.random().nextDouble();
        dispatchQueue.invalidate(dispatchQueue.shardQueue(targets.shardOf[target]));
        long longDelayMicros = settings.shortestObjectiveMicros() / 2;
        boolean isLongDelay = queueDelayMicros > longDelayMicros;
        lateShare += tuning.smoothing() * ((isLongDelay ? 1 : 0) - lateShare);
    }

    void recordTimelyResponse() {
        lateShare -= tuning.smoothing() * lateShare;
    }

    /**
     * Records the end of a probe. The target may have answered it ahead of queued work, so its
     * success alone allows just one trial attempt.
     */
    void recordProbe(Event.ProbeEnded probe, int target) {
        boolean isAnswered = probe.outcome() == Outcome.SUCCEEDED;
        targets.trialAllowed[target] |= isAnswered;
        targets.probeSentAt[target] = 0;
        double unloadedMicros = estimates.unloadedLatencyMicros();
        double delayIfUnanswered =
                slowStart.isWarmingUp(target) ? settings.shortestObjectiveMicros() : 0;
        double queueDelayMicros =
                isAnswered
                        ? Math.max(
                                (double) probe.latencyMicros(),
                                probe.queueLength() * unloadedMicros)
                        : delayIfUnanswered;
        record(target, queueDelayMicros, settings.shortestObjectiveMicros() / 2);
        targets.isReportOfProbe[target] = isAnswered;
    }
}
