package milletyoke.lifecycle;

/** What bears on a daemon's condition. */
public sealed interface LifecycleEvent {
    /** The list came, or was restored from before; {@code usable} targets in it may be sent to. */
    record EndpointListReceived(int usable, boolean restored) implements LifecycleEvent {}

    /** Discovery cannot be reached, or refuses. */
    record DiscoveryUnavailable() implements LifecycleEvent {}

    /** The part of places or bytes taken, whichever is more, 0 to 1. */
    record UtilizationMeasured(double utilization) implements LifecycleEvent {}

    record DrainRequested(String who) implements LifecycleEvent {}

    record DrainCancelled(String who) implements LifecycleEvent {}

    /** The process was asked to end. */
    record ShutdownRequested() implements LifecycleEvent {}

    /** Time passed. */
    record Tick() implements LifecycleEvent {}
}
