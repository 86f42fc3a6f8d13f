package milletyoke.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Determines a process's lifecycle state from events. It says whether new requests are admitted and
 * never what becomes of one that was.
 *
 * <p>Knows no clock: each event comes with its time in microseconds. Not thread-safe.
 */
public final class Lifecycle {
    private static final int MAX_TRANSITIONS = 64;

    /** Stands for the time of something that has not happened. */
    private static final long NEVER = -1;

    /**
     * When a state is entered and left.
     *
     * @param listTimeoutMicros without discovery for so long, the endpoint list counts as lost
     * @param saturatedFrom utilization from which the process is saturated, up to 1
     * @param relievedBelow utilization below which it no longer is; less than {@code saturatedFrom}
     *     so that the state does not flap
     * @param minSaturatedMicros how long it stays saturated at least
     */
    public record Thresholds(
            long listTimeoutMicros,
            double saturatedFrom,
            double relievedBelow,
            long minSaturatedMicros) {
        /** Defaults. */
        public static final Thresholds DEFAULT = new Thresholds(10_000_000, 0.9, 0.7, 1_000_000);

        /** Checks the thresholds. */
        public Thresholds {
            if (!(saturatedFrom > relievedBelow && relievedBelow >= 0 && saturatedFrom <= 1)) {
                throw new IllegalArgumentException(
                        "expected saturatedFrom over relievedBelow, both from 0 to 1, not "
                                + saturatedFrom
                                + ", "
                                + relievedBelow);
            }
        }
    }

    /** One change of state; {@code reason} is for people. */
    public record Transition(
            long atMicros, LifecycleState from, LifecycleState to, String reason) {}

    private final Thresholds thresholds;
    private final ArrayDeque<Transition> transitions = new ArrayDeque<>();
    private LifecycleState state = LifecycleState.STARTING;
    private boolean hasList;
    private int usableTargets;
    private long listLostAtMicros = NEVER;
    private boolean isSaturated;
    private long saturatedAtMicros;

    /** The operator who drained the process; null where it is not drained. */
    private String drainedBy;

    private boolean isShuttingDown;

    /** Creates the lifecycle of a process that is starting. */
    public Lifecycle(Thresholds thresholds) {
        this.thresholds = thresholds;
    }

    /** The current state. */
    public LifecycleState state() {
        return state;
    }

    /** A copy of the latest transitions, oldest first. */
    public List<Transition> transitions() {
        return new ArrayList<>(transitions);
    }

    /** Applies an event and returns the state after it. */
    public LifecycleState apply(long nowMicros, LifecycleEvent event) {
        String reason = handle(nowMicros, event);
        LifecycleState next = nextState(nowMicros);
        if (next != state) {
            transitions.addLast(new Transition(nowMicros, state, next, reason));
            if (transitions.size() > MAX_TRANSITIONS) {
                transitions.removeFirst();
            }
            state = next;
        }
        return state;
    }

    /** Updates the fields and returns what happened, as the reason of a transition. */
    private String handle(long nowMicros, LifecycleEvent event) {
        if (event instanceof LifecycleEvent.EndpointListReceived list) {
            return handleList(nowMicros, list);
        }
        if (event instanceof LifecycleEvent.DiscoveryUnavailable) {
            listLostAtMicros = listLostAtMicros < 0 ? nowMicros : listLostAtMicros;
            return "discovery is lost";
        }
        if (event instanceof LifecycleEvent.UtilizationMeasured measured) {
            return handleUtilization(nowMicros, measured.utilization());
        }
        if (event instanceof LifecycleEvent.DrainRequested requested) {
            drainedBy = requested.who();
            return "drained by " + requested.who();
        }
        if (event instanceof LifecycleEvent.DrainCancelled cancelled) {
            drainedBy = null;
            return "put back by " + cancelled.who();
        }
        if (event instanceof LifecycleEvent.ShutdownRequested) {
            isShuttingDown = true;
            return "asked to end";
        }
        return "time passed";
    }

    private String handleList(long nowMicros, LifecycleEvent.EndpointListReceived list) {
        hasList |= !list.restored() || list.usable() > 0;
        usableTargets = list.usable();
        // A restored list counts as old until discovery confirms it.
        listLostAtMicros = list.restored() ? nowMicros : NEVER;
        String origin = list.restored() ? ", as known before the start" : "";
        return list.usable() + " targets may be sent to" + origin;
    }

    private String handleUtilization(long nowMicros, double utilization) {
        if (!isSaturated && utilization >= thresholds.saturatedFrom()) {
            isSaturated = true;
            saturatedAtMicros = nowMicros;
        } else if (isSaturated
                && utilization < thresholds.relievedBelow()
                && nowMicros - saturatedAtMicros >= thresholds.minSaturatedMicros()) {
            isSaturated = false;
        }
        return Math.round(100 * utilization) + "% of the room is used";
    }

    private LifecycleState nextState(long nowMicros) {
        if (isShuttingDown) {
            return LifecycleState.LEAVING;
        }
        if (drainedBy != null) {
            return LifecycleState.DRAINING;
        }
        if (!hasList) {
            return isListLost(nowMicros) ? LifecycleState.WITHOUT_LIST : LifecycleState.STARTING;
        }
        if (usableTargets == 0) {
            return LifecycleState.WITHOUT_LIST;
        }
        if (isSaturated) {
            return LifecycleState.SATURATED;
        }
        return isListLost(nowMicros) ? LifecycleState.LIST_LOST : LifecycleState.READY;
    }

    private boolean isListLost(long nowMicros) {
        return listLostAtMicros >= 0
                && nowMicros - listLostAtMicros >= thresholds.listTimeoutMicros();
    }
}
