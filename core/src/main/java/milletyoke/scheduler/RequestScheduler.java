package milletyoke.scheduler;

import java.util.List;
import java.util.Map;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;

/**
 * Schedules the requests of one initiator. Its host makes one scheduler for each start, calls
 * {@link #decide} with the time and what happened since, the start first, and carries out the
 * actions it returns, in that order. One thread at a time; no clock, no input or output. The
 * interface is the package milletyoke.scheduler.api; the design, and each departure from the paper,
 * is in docs/design.md.
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
    private final ShardDispatcher shardDispatcher;
    private final EndpointListUpdater endpointListUpdater;
    private final EndpointWatch endpointWatch;
    private final WakeUpTimer wakeUpTimer;
    private final IdleStateEviction eviction;

    // What SchedulerView shows.
    final TargetTable targets;
    final DispatchQueue dispatchQueue;
    final SlowStart slowStart;
    final LoadReports loadReports;
    final RateLimits rateLimits;
    final RetryPolicy retryPolicy;

    /** A scheduler with the figures of production. */
    public RequestScheduler() {
        this(SchedulerTuning.DEFAULT);
    }

    /** A scheduler with other figures, for simulations alone. */
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
     * Takes what happened since the last call and returns what is to be done.
     *
     * @param time of this turn, microseconds, never less than the one before
     * @param events since the last call, in their order; the very first is {@link Event.Started}
     * @return what the host carries out, in this order
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
        } else if (event instanceof Event.AttemptEnded ended) {
            attemptCompletion.complete(ended);
        } else if (event instanceof Event.ProbeEnded probe) {
            handleProbe(probe);
        } else if (event instanceof Event.RequestClosed closed) {
            handleClosed(closed);
        }
    }

    private void start(Event.Started started) {
        settings.start(started, turn.now());
        rateLimits.addPlans();
        endpointWatch.start();
    }

    /**
     * New plans hold from now on, for queued requests too. A rate limit's bucket is filled by the
     * plan it had, and then contains no more than the new one allows. Guards rule 7 (rate limits)
     * against a limit lowered and raised again, which would fill its bucket at once, and against
     * past time paid at a higher rate. Harms none but a volume whose limit rises: its bucket fills
     * as time goes on.
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
     * Times are set by bounds above the current averages; once an average outgrows its bound, all
     * are set anew.
     */
    private void recheckAllAfterDrift() {
        boolean hasGrown = estimates.raiseBounds(turn.now());
        boolean hasSuspicionChanged = loadReports.hasSuspicionChanged();
        if (hasGrown || hasSuspicionChanged) {
            recheckAll();
        }
    }

    private void recheckAll() {
        dispatchQueue.invalidateAll();
        targetHealth.scheduleAllChecks();
    }
}
