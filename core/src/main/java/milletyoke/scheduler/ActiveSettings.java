package milletyoke.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;

/**
 * The settings in force and values derived from them. Rule limits, random numbers and start time
 * are those of the start; request classes, plans and capabilities follow later changes.
 */
final class ActiveSettings {
    /** How long the ids of requests that may have run are remembered at most. */
    private static final long MAX_EXECUTION_MEMORY_MICROS = 30_000_000;

    private final SchedulerTuning tuning;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, ServicePlan> plans = new HashMap<>();
    private SchedulerSettings settings;
    private RuleLimits limits;
    private SplittableRandom random;
    private long seed;
    private long startedAt;
    private long shortestObjectiveMicros;
    private long executionMemoryMicros;
    private boolean hasManyInitiators;

    ActiveSettings(SchedulerTuning tuning) {
        this.tuning = tuning;
    }

    void start(Event.Started started, long now) {
        limits = started.settings().limits();
        seed = started.seed();
        random = new SplittableRandom(seed);
        startedAt = now;
        update(started.settings());
        hasManyInitiators = settings.initiatorCount() * tuning.lateFraction() > 2;
    }

    void update(SchedulerSettings next) {
        settings = next;
        settings.requestClasses().forEach(c -> requestClasses.put(c.name(), c));
        shortestObjectiveMicros =
                settings.requestClasses().stream()
                        .mapToLong(RequestClass::latencyObjectiveMicros)
                        .min()
                        .orElse(0);
        executionMemoryMicros = executionMemoryMicros(next);
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    private static long executionMemoryMicros(SchedulerSettings settings) {
        long deadlineMicros = settings.longestDeadlineMicros();
        if (deadlineMicros <= 0 || deadlineMicros >= MAX_EXECUTION_MEMORY_MICROS) {
            return MAX_EXECUTION_MEMORY_MICROS;
        }
        long longestWindowMicros =
                settings.requestClasses().stream()
                        .mapToLong(RequestClass::deduplicationWindowMicros)
                        .max()
                        .orElse(0);
        long windowMicros = Math.max(0, Math.min(longestWindowMicros, MAX_EXECUTION_MEMORY_MICROS));
        return Math.min(MAX_EXECUTION_MEMORY_MICROS, deadlineMicros + windowMicros);
    }

    /**
     * Returns how long the id of a request that may have run is remembered: for the longest
     * deadline, within which its client may send it again, and the longest deduplication window,
     * but for 30 s at most.
     */
    long executionMemoryMicros() {
        return executionMemoryMicros;
    }

    RuleLimits limits() {
        return limits;
    }

    SplittableRandom random() {
        return random;
    }

    /** Returns the seed of this start, for separate random sequences. */
    long seed() {
        return seed;
    }

    Capabilities capabilities() {
        return settings.capabilities();
    }

    int initiatorCount() {
        return settings.initiatorCount();
    }

    boolean mustWatchEndpoints() {
        return settings.mustWatchEndpoints();
    }

    /** Returns the plans in the latest settings, in their order. */
    Iterable<ServicePlan> latestPlans() {
        return settings.plans();
    }

    RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    /** Returns the plan with the given name, null if there never was one. */
    ServicePlan plan(String name) {
        return plans.get(name);
    }

    long startedAt() {
        return startedAt;
    }

    /** Returns the shortest latency objective of all request classes, microseconds. */
    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /**
     * Returns whether there are so many initiators that, at concurrency limits of one attempt each,
     * they already cause a queue of twice the shortest latency objective.
     */
    boolean hasManyInitiators() {
        return hasManyInitiators;
    }
}
