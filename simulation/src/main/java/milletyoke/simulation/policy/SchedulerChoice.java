package milletyoke.simulation.policy;

import java.util.function.Supplier;
import milletyoke.scheduler.api.Scheduler;

/** The scheduler that a simulation runs: the production scheduler or a baseline for comparison. */
public enum SchedulerChoice {
    /** The production scheduler. */
    MILLETYOKE(null),
    /** Sends every request immediately, within an equal share of each rate limit. */
    AT_ONCE(() -> new BaselineScheduler(Integer.MAX_VALUE)),
    /**
     * Limits the attempts in flight at each target and serves volumes round-robin (Nagle, RFC 970).
     */
    FAIR_ROUNDS(() -> new BaselineScheduler(4));

    private final Supplier<Scheduler> factory;

    SchedulerChoice(Supplier<Scheduler> factory) {
        this.factory = factory;
    }

    /** Returns a factory of schedulers, or null for the production scheduler. */
    public Supplier<Scheduler> schedulerFactory() {
        return factory;
    }
}
