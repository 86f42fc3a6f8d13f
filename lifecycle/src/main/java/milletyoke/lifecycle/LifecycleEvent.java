package milletyoke.lifecycle;

/** An event that can change the lifecycle state of a process. */
public sealed interface LifecycleEvent {
    /**
     * An endpoint list was received from discovery, or restored at the start of the process.
     *
     * @param usableTargets number of targets in the list that attempts may be sent to
     * @param restored whether the list was restored and not received from discovery
     */
    record EndpointListReceived(int usableTargets, boolean restored) implements LifecycleEvent {}

    /** Discovery is unreachable or has no endpoint list. */
    record DiscoveryUnavailable() implements LifecycleEvent {}

    /** The utilization of the admission capacity, from 0 to 1. */
    record UtilizationMeasured(double utilization) implements LifecycleEvent {}

    /** An operator drained the process. */
    record DrainRequested(String operator) implements LifecycleEvent {}

    /** An operator returned the process to service. */
    record DrainCancelled(String operator) implements LifecycleEvent {}

    /** Shutdown of the process was requested. */
    record ShutdownRequested() implements LifecycleEvent {}

    /** Triggers the check of timeouts. */
    record Tick() implements LifecycleEvent {}
}
