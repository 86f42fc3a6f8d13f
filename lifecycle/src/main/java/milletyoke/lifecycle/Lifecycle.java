package milletyoke.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides a daemon's condition from facts. It knows no clock: each fact comes with its time
 * (microseconds). It never says what becomes of an access that was taken; that is decided
 * elsewhere.
 */
public final class Lifecycle {
    /** Transitions remembered. */
    private static final int REMEMBERED = 64;

    /**
     * What is borne.
     *
     * @param listAge without a word from discovery for so long the list counts as lost
     *     (microseconds)
     * @param full from this part of room used on, the daemon is saturated
     * @param eased and below this part no more; a gap keeps it from flapping
     * @param settled a daemon stays saturated for at least so long (microseconds)
     */
    public record Thresholds(long listAge, double full, double eased, long settled) {
        public static final Thresholds USUAL = new Thresholds(10_000_000, 0.9, 0.7, 1_000_000);

        public Thresholds {
            if (!(full > eased && eased >= 0 && full <= 1)) {
                throw new IllegalArgumentException(
                        "full must be over eased, both within 0 and 1, not " + full + ", " + eased);
            }
        }
    }

    /** One change of condition; {@code reason} is in words. */
    public record Transition(
            long atMicros, LifecycleState from, LifecycleState to, String reason) {}

    private final Thresholds marks;
    private final ArrayDeque<Transition> transitions = new ArrayDeque<>();
    private LifecycleState state = LifecycleState.STARTING;
    private boolean heardList;
    private int usable;
    private long listLostAt = -1;
    private boolean saturated;
    private long saturatedAt;
    private String drainedBy;
    private boolean leaving;

    public Lifecycle(Thresholds marks) {
        this.marks = marks;
    }

    public LifecycleState state() {
        return state;
    }

    /** The latest transitions, oldest first. */
    public List<Transition> transitions() {
        return new ArrayList<>(transitions);
    }

    /** Takes a fact and returns the condition after it. */
    public LifecycleState apply(long now, LifecycleEvent fact) {
        String why = learn(now, fact);
        LifecycleState next = judge(now);
        if (next != state) {
            transitions.addLast(new Transition(now, state, next, why));
            if (transitions.size() > REMEMBERED) {
                transitions.removeFirst();
            }
            state = next;
        }
        return state;
    }

    private String learn(long now, LifecycleEvent fact) {
        if (fact instanceof LifecycleEvent.EndpointListReceived f) {
            heardList |= !f.restored() || f.usable() > 0;
            usable = f.usable();
            listLostAt =
                    f.restored() ? now : -1; // what was restored is old until discovery confirms it
            return f.usable()
                    + " targets may be sent to"
                    + (f.restored() ? ", as known before the start" : "");
        } else if (fact instanceof LifecycleEvent.DiscoveryUnavailable) {
            listLostAt = listLostAt < 0 ? now : listLostAt;
            return "discovery is lost";
        } else if (fact instanceof LifecycleEvent.UtilizationMeasured f) {
            return used(now, f.utilization());
        } else if (fact instanceof LifecycleEvent.DrainRequested f) {
            drainedBy = f.who();
            return "drained by " + f.who();
        } else if (fact instanceof LifecycleEvent.DrainCancelled f) {
            drainedBy = null;
            return "put back by " + f.who();
        } else if (fact instanceof LifecycleEvent.ShutdownRequested) {
            leaving = true;
            return "asked to end";
        }
        return "time passed";
    }

    private String used(long now, double part) {
        if (!saturated && part >= marks.full()) {
            saturated = true;
            saturatedAt = now;
        } else if (saturated && part < marks.eased() && now - saturatedAt >= marks.settled()) {
            saturated = false;
        }
        return Math.round(100 * part) + "% of the room is used";
    }

    private LifecycleState judge(long now) {
        if (leaving) {
            return LifecycleState.LEAVING;
        }
        if (drainedBy != null) {
            return LifecycleState.DRAINING;
        }
        if (!heardList) {
            return listLostAt >= 0 && now - listLostAt >= marks.listAge()
                    ? LifecycleState.WITHOUT_LIST
                    : LifecycleState.STARTING;
        }
        if (usable == 0) {
            return LifecycleState.WITHOUT_LIST;
        }
        if (saturated) {
            return LifecycleState.SATURATED;
        }
        return listLostAt >= 0 && now - listLostAt >= marks.listAge()
                ? LifecycleState.LIST_LOST
                : LifecycleState.READY;
    }
}
