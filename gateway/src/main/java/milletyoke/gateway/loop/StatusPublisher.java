package milletyoke.gateway.loop;

import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.gateway.status.SnapshotBuilder;
import milletyoke.gateway.status.StatusSnapshot;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.lifecycle.LifecycleEvent;
import milletyoke.lifecycle.LifecycleState;

/**
 * Maintains the initiator's lifecycle state and publishes status snapshots. Updated on the loop's
 * thread; any thread may read the published values.
 */
final class StatusPublisher {
    private static final long SNAPSHOT_INTERVAL_MICROS = 250_000;

    private final EventLoop.LoopEnvironment environment;
    private final LongSupplier clock;
    private final boolean isVirtual;
    private final Lifecycle lifecycle;
    private final SnapshotBuilder snapshotBuilder;
    private final RequestTracker tracker;
    private final AttemptDispatcher dispatcher;
    private final EndpointRegistry registry;
    private final TurnTimings timings;
    private volatile LifecycleState lifecycleState = LifecycleState.STARTING;
    private volatile StatusSnapshot snapshot;
    private long nextSnapshotMicros;

    /**
     * Creates a publisher of the state of the given components.
     *
     * @param isVirtual whether time is virtual; if so, only the snapshot at the start is published
     */
    StatusPublisher(
            EventLoop.LoopEnvironment environment,
            LongSupplier clock,
            boolean isVirtual,
            Lifecycle lifecycle,
            SnapshotBuilder snapshotBuilder,
            RequestTracker tracker,
            AttemptDispatcher dispatcher,
            EndpointRegistry registry,
            TurnTimings timings) {
        this.environment = environment;
        this.clock = clock;
        this.isVirtual = isVirtual;
        this.lifecycle = lifecycle;
        this.snapshotBuilder = snapshotBuilder;
        this.tracker = tracker;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.timings = timings;
    }

    void apply(LifecycleEvent event) {
        lifecycleState = lifecycle.apply(clock.getAsLong(), event);
    }

    /** Adds an event to the list that the console shows. */
    void recordEvent(long nowMicros, String kind, String description) {
        snapshotBuilder.addEvent(nowMicros, kind, description, null);
    }

    long nextSnapshotMicros() {
        return nextSnapshotMicros;
    }

    /**
     * Updates the lifecycle and publishes a snapshot; the next snapshot includes the cost of this
     * one.
     */
    void publish(long nowMicros) {
        long startNanos = System.nanoTime();
        nextSnapshotMicros = nowMicros + SNAPSHOT_INTERVAL_MICROS;
        apply(new LifecycleEvent.UtilizationMeasured(environment.utilization()));
        apply(new LifecycleEvent.Tick());
        if (snapshot != null && (isVirtual || !environment.hasStatusReaders())) {
            // Nobody reads snapshots, and their cost grows with the targets and volumes.
            return;
        }
        snapshot = snapshotBuilder.build(nowMicros, loopStatus());
        timings.recordSnapshot(nowMicros, System.nanoTime() - startNanos);
    }

    private SnapshotBuilder.LoopStatus loopStatus() {
        return new SnapshotBuilder.LoopStatus(
                lifecycle,
                environment.slotsInUse(),
                tracker.trackedCount(),
                dispatcher.outstandingCount(),
                environment.utilization(),
                registry.revision(),
                timings.recent(),
                timings.snapshotCost(),
                tracker.latestDecisions(),
                registry::healthLabel,
                registry::isDrainedByOperator);
    }

    LifecycleState lifecycleState() {
        return lifecycleState;
    }

    StatusSnapshot snapshot() {
        return snapshot;
    }
}
