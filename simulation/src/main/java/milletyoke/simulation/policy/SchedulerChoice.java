package milletyoke.simulation.policy;

import java.util.function.Supplier;
import milletyoke.scheduler.api.Scheduler;

/** Which scheduler a simulation runs: the product's own, or a baseline to compare it with. */
public enum SchedulerChoice {
    /** The product's own. */
    MILLETYOKE(null),
    /** Sends everything at once, within an even part of each limit. */
    AT_ONCE(() -> new BaselineScheduler(Integer.MAX_VALUE)),
    /** A fixed number in flight at each target; volumes take turns (Nagle, RFC 970). */
    FAIR_ROUNDS(() -> new BaselineScheduler(4));

    private final Supplier<Scheduler> made;

    SchedulerChoice(Supplier<Scheduler> made) {
        this.made = made;
    }

    /** A factory of schedulers; null for the product's own. */
    public Supplier<Scheduler> decisions() {
        return made;
    }
}
