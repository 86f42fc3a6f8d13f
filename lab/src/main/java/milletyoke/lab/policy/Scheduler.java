package milletyoke.lab.policy;

import java.util.function.Supplier;
import milletyoke.port.Decisions;

/** What decides in a play: the product's own decisions, or a plain policy to compare them with. */
public enum Scheduler {
    MILLETYOKE(null),
    /** Sends everything at once, within an even part of each limit. */
    AT_ONCE(() -> new Plain(Integer.MAX_VALUE)),
    /** A fixed number out at each target; volumes take turns (Nagle, RFC 970). */
    FAIR_ROUNDS(() -> new Plain(4));

    private final Supplier<Decisions> made;

    Scheduler(Supplier<Decisions> made) {
        this.made = made;
    }

    /** Null for the product's own. */
    public Supplier<Decisions> decisions() {
        return made;
    }
}
