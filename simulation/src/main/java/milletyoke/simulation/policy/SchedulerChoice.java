package milletyoke.simulation.policy;

import java.util.function.Supplier;
import milletyoke.scheduler.api.Scheduler;

/** What decides in a play: the product's own decisions, or a plain policy to compare them with. */
public enum SchedulerChoice {
    MILLETYOKE(null),
    /** Sends everything at once, within an even part of each limit. */
    AT_ONCE(() -> new BaselineScheduler(Integer.MAX_VALUE)),
    /** A fixed number out at each target; volumes take turns (Nagle, RFC 970). */
    FAIR_ROUNDS(() -> new BaselineScheduler(4));

    private final Supplier<Scheduler> made;

    SchedulerChoice(Supplier<Scheduler> made) {
        this.made = made;
    }

    /** Null for the product's own. */
    public Supplier<Scheduler> decisions() {
        return made;
    }
}
