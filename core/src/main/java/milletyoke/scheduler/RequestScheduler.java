package milletyoke.scheduler;

import java.util.List;
import java.util.Map;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;

/**
 * Schedules the requests of one initiator. The caller creates one scheduler per start, calls {@link
 * #decide} with the current time and the events since the last call, beginning with {@link
 * Event.Started}, and carries out the returned actions in order. Not thread-safe; has no clock and
 * does no I/O. The interface is the package milletyoke.scheduler.api; docs/design.md describes the
 * design and each departure from the paper.
 */
public final class RequestScheduler implements Scheduler {
    private final Map<String, Integer> targetIndex;
    private final Turn turn;
    private final ActiveSettings settings;
    private final LoadEstimates estimates;
    private final PendingRequests pendingRequests;
    private final TargetHealth targetHealth;
    private final RetryBudget retryBudget;
    private final RequestAdmitter admitter;
    private final AttemptCompletion attemptCompletion;
    private final CompletionPolicy completionPolicy;
    private final ShardDispatcher shardDispatcher;
    private final EndpointListUpdater endpointListUpdater;
    private final EndpointWatch endpointWatch;
    private final WakeUpTimer wakeUpTimer;
    private final IdleStateEviction eviction;

    // Read by SchedulerView.
    final TargetTable targets;
    final DispatchQueue dispatchQueue;
    final SlowStart slowStart;
    final LoadReports loadReports;
    final RateLimits rateLimits;
    final RetryPolicy retryPolicy;

    /** Creates a scheduler with the production tuning. */
    public RequestScheduler() {
        this(SchedulerTuning.DEFAULT);
    }

    /** Creates a scheduler with the given tuning; for simulations only. */
    public RequestScheduler(SchedulerTuning tuning) {
        SchedulerComponents components = new SchedulerComponents(tuning);
        turn = components.turn;
        settings = components.settings;
        estimates = components.estimates;
        targetIndex = components.targetIndex;
        pendingRequests = components.pendingRequests;
        targetHealth = components.targetHealth;
        retryBudget = components.retryBudget;
        admitter = components.admitter;
        attemptCompletion = components.attemptCompletion;
        completionPolicy = components.completionPolicy;
        shardDispatcher = components.shardDispatcher;
        endpointListUpdater = components.endpointListUpdater;
        endpointWatch = components.endpointWatch;
        wakeUpTimer = components.wakeUpTimer;
        eviction = components.eviction;
        targets = components.targets;
        dispatchQueue = components.dispatchQueue;
        slowStart = components.slowStart;
        loadReports = components.loadReports;
        rateLimits = components.rateLimits;
        retryPolicy = components.retryPolicy;
    }

    /**
     * Processes the events since the last call and returns the actions to carry out.
     *
     * @param time of this turn in microseconds, never less than in the previous call
     * @param events since the last call, in order of occurrence; the very first is {@link
     *     Event.Started}
     * @return the actions, in the order in which to carry them out
     */
    @Override
    public List<Action> decide(long time, List<Event> events) {
        turn.begin(time);
        wakeUpTimer.beginTurn();
        events.forEach(this::handle);
        recheckAllAfterDrift();
        targetHealth.checkDueTargets();
        dispatchQueue.collectDue(time);
        retryBudget.update();
        shardDispatcher.serveAll();
        endpointWatch.sendIfDue();
        wakeUpTimer.schedule(
                endpointWatch.watchAt(), !pendingRequests.isEmpty(), dispatchQueue.queuedCount > 0);
        eviction.evictIdle(time, events.size());
        return turn.actions();
    }

    private void handle(Event event) {
        if (event instanceof Event.Started started) {
            start(started);
        } else if (event instanceof Event.SettingsChanged changed) {
            changeSettings(changed.settings());
        } else if (event instanceof Event.EndpointListReceived list) {
            handleEndpointList(list);
        } else if (event instanceof Event.RequestReceived received) {
            admitter.admit(received);
        } else if (event instanceof Event.AttemptWritten written) {
            attemptCompletion.recordWritten(written);
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptCompletion.complete(ended);
        } else if (event instanceof Event.ProbeEnded probe) {
            handleProbe(probe);
        } else if (event instanceof Event.RequestClosed closed) {
            handleClosed(closed);
        } else if (event instanceof Event.ShutdownDeadlineReached) {
            pendingRequests.unanswered().forEach(completionPolicy::rejectOrFail);
        }
    }

    private void start(Event.Started started) {
        settings.start(started, turn.now());
        rateLimits.addPlans();
        endpointWatch.start();
    }

    /**
     * Applies new settings, also to requests that are already queued. The bucket of a rate limit is
     * filled at its old plan's rate up to now, then capped at the new plan's depth. Guards rule 7
     * (rate limits) against a limit that is lowered and raised again, which would otherwise fill
     * the bucket at once, and against past time credited at a higher rate. The cost: a volume whose
     * limit rises has to wait for its bucket to fill.
     */
    private void changeSettings(SchedulerSettings next) {
        rateLimits.refillAll();
        settings.update(next);
        rateLimits.addPlans();
        rateLimits.refillAll();
        pendingRequests.applyPlans(settings);
        dispatchQueue.shardQueues().forEach(ShardQueue::applyPlanWeights);
        recheckAll();
    }

    private void handleEndpointList(Event.EndpointListReceived list) {
        if (list.scope() == Event.ListScope.UNAVAILABLE) {
            endpointWatch.retryLater();
            return;
        }
        if (list.scope() != Event.ListScope.RESTORED) {
            endpointWatch.resetDelay();
        }
        endpointListUpdater.apply(list);
    }

    private void handleProbe(Event.ProbeEnded probe) {
        Integer target = targetIndex.get(probe.target());
        if (target != null) {
            loadReports.recordProbe(probe, target);
        }
    }

    private void handleClosed(Event.RequestClosed closed) {
        PendingRequest request = pendingRequests.find(closed.id());
        if (request != null) {
            pendingRequests.complete(request);
        }
    }

    /**
     * Scheduled times are computed from upper bounds of moving averages. Once an average exceeds
     * its bound, or the suspicion of overload changes, all shards and targets are checked again.
     */
    private void recheckAllAfterDrift() {
        boolean hasGrown = estimates.raiseBounds(turn.now());
        boolean hasOverloadSuspicionChanged = loadReports.hasOverloadSuspicionChanged();
        if (hasGrown || hasOverloadSuspicionChanged) {
            recheckAll();
        }
    }

    private void recheckAll() {
        dispatchQueue.invalidateAll();
        targetHealth.scheduleAllChecks();
    }
}
