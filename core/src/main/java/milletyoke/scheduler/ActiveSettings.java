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
 * The settings in force, with what follows from them. The rules' limits, the random sequence and
 * the start time are those of the start; classes, plans and capabilities follow later settings.
 */
final class ActiveSettings {
    private final SchedulerTuning tuning;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();
    private final Map<String, ServicePlan> plans = new HashMap<>();
    private SchedulerSettings settings;
    private RuleLimits limits;
    private SplittableRandom random;
    private long seed;
    private long startedAt;
    private long shortestObjectiveMicros;
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
        settings.plans().forEach(p -> plans.put(p.name(), p));
    }

    RuleLimits limits() {
        return limits;
    }

    SplittableRandom random() {
        return random;
    }

    /** The seed of this start, for random sequences of their own. */
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

    /** The names of the plans in the latest settings, in their order. */
    Iterable<ServicePlan> latestPlans() {
        return settings.plans();
    }

    RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    /** The plan of that name, null where there never was one. */
    ServicePlan plan(String name) {
        return plans.get(name);
    }

    long startedAt() {
        return startedAt;
    }

    /** The shortest latency objective among all request classes, microseconds. */
    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /**
     * Whether there are so many initiators that concurrency limits of one attempt each already make
     * a queue of twice the shortest latency objective.
     */
    boolean hasManyInitiators() {
        return hasManyInitiators;
    }
}
