package milletyoke.lifecycle;

/** What can change a process's lifecycle state. */
public sealed interface LifecycleEvent {
    /** The endpoint list came, or was restored; {@code usable} targets in it may be sent to. */
    record EndpointListReceived(int usable, boolean restored) implements LifecycleEvent {}

    /** Discovery cannot be reached, or has no list. */
    record DiscoveryUnavailable() implements LifecycleEvent {}

    /** The part of the capacity in use, 0 to 1. */
    record UtilizationMeasured(double utilization) implements LifecycleEvent {}

    /** An operator took the process out of service. */
    record DrainRequested(String who) implements LifecycleEvent {}

    /** An operator put the process back into service. */
    record DrainCancelled(String who) implements LifecycleEvent {}

    /** The process was asked to shut down. */
    record ShutdownRequested() implements LifecycleEvent {}

    /** Time passed. */
    record Tick() implements LifecycleEvent {}
}
