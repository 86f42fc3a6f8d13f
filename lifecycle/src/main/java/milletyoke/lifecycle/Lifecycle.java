package milletyoke.lifecycle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Determines the lifecycle state of a process from events. The state decides whether new requests
 * are admitted; it does not affect requests that were admitted before.
 *
 * <p>Does not read a clock: each event is passed with its time in microseconds. Not thread-safe.
 */
public final class Lifecycle {
    private static final int MAX_TRANSITIONS = 64;

    /** The time of an event that has not occurred. */
    private static final long NEVER = -1;

    /**
     * The conditions for entering and leaving states.
     *
     * @param listTimeoutMicros time without discovery after which the endpoint list counts as lost
     * @param saturatedFrom utilization from which the process is saturated, at most 1
     * @param relievedBelow utilization below which the process is no longer saturated; less than
     *     {@code saturatedFrom}, so that the state does not flap
     * @param minSaturatedMicros minimum time for which the process stays saturated
     */
    public record Thresholds(
            long listTimeoutMicros,
            double saturatedFrom,
            double relievedBelow,
            long minSaturatedMicros) {
        /** The default thresholds. */
        public static final Thresholds DEFAULT = new Thresholds(10_000_000, 0.9, 0.7, 1_000_000);

        /** Validates the thresholds. */
        public Thresholds {
            if (!(saturatedFrom > relievedBelow && relievedBelow >= 0 && saturatedFrom <= 1)) {
                throw new IllegalArgumentException(
                        "saturatedFrom must be greater than relievedBelow, and both from 0 to 1:"
                                + " saturatedFrom="
                                + saturatedFrom
                                + ", relievedBelow="
                                + relievedBelow);
            }
        }
    }

    /** A change of state; {@code reason} is a description for operators. */
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

    /** The operator who drained the process; null if the process is not drained. */
    private String drainedBy;

    private boolean isShuttingDown;

    /** Creates the lifecycle of a process that is starting. */
    public Lifecycle(Thresholds thresholds) {
        this.thresholds = thresholds;
    }

    /** Returns the current state. */
    public LifecycleState state() {
        return state;
    }

    /** Returns a copy of the latest transitions, oldest first. */
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

    /**
     * Updates the fields and returns a description of the event, used as the reason of a
     * transition.
     */
    private String handle(long nowMicros, LifecycleEvent event) {
        if (event instanceof LifecycleEvent.EndpointListReceived list) {
            return handleList(nowMicros, list);
        }
        if (event instanceof LifecycleEvent.DiscoveryUnavailable) {
            listLostAtMicros = listLostAtMicros < 0 ? nowMicros : listLostAtMicros;
            return "discovery unavailable";
        }
        if (event instanceof LifecycleEvent.UtilizationMeasured measured) {
            return handleUtilization(nowMicros, measured.utilization());
        }
        if (event instanceof LifecycleEvent.DrainRequested requested) {
            drainedBy = requested.operator();
            return "drained by " + requested.operator();
        }
        if (event instanceof LifecycleEvent.DrainCancelled cancelled) {
            drainedBy = null;
            return "returned to service by " + cancelled.operator();
        }
        if (event instanceof LifecycleEvent.ShutdownRequested) {
            isShuttingDown = true;
            return "shutdown requested";
        }
        return "endpoint list timeout expired";
    }

    private String handleList(long nowMicros, LifecycleEvent.EndpointListReceived list) {
        hasList |= !list.restored() || list.usableTargets() > 0;
        usableTargets = list.usableTargets();
        // For a restored list, the timeout runs until discovery sends a list.
        listLostAtMicros = list.restored() ? nowMicros : NEVER;
        String origin = list.restored() ? " in the list restored at start" : "";
        return list.usableTargets() + " usable targets" + origin;
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
        return Math.round(100 * utilization) + "% of the capacity in use";
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
