package milletyoke.gateway.loop;

import java.util.function.LongSupplier;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.gateway.dispatch.WriteBatch;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.SnapshotBuilder;
import milletyoke.lifecycle.Lifecycle;
import milletyoke.scheduler.RequestScheduler;

/** Creates and connects the components of one event loop. The loop owns all of them. */
final class LoopComponents {
    /** Minimum time that the initiator stays in the saturated state. */
    private static final long MIN_SATURATED_MICROS = 1_000_000;

    final WriteBatch writeBatch = new WriteBatch();
    final TurnTimings timings = new TurnTimings();
    final WakeUpTimers wakeUpTimers = new WakeUpTimers();
    final ServiceStatistics statistics;
    final RequestTracker tracker;
    final AttemptDispatcher dispatcher;
    final EndpointRegistry registry;
    final StatusPublisher status;
    final MessageHandler handler;

    private final InitiatorConfig config;
    private final EventLoop.LoopEnvironment environment;
    private final LongSupplier clock;
    private final Counters counters;

    /**
     * Creates the components.
     *
     * @param requestScheduler the scheduler whose state the status snapshots show
     * @param isVirtual whether time is virtual
     */
    LoopComponents(
            InitiatorConfig config,
            EventLoop.LoopEnvironment environment,
            LongSupplier clock,
            Counters counters,
            RequestScheduler requestScheduler,
            boolean isVirtual) {
        this.config = config;
        this.environment = environment;
        this.clock = clock;
        this.counters = counters;
        statistics =
                new ServiceStatistics(
                        config.deployment().scheduler(), environment.hasStatusReaders());
        tracker = newTracker();
        dispatcher =
                new AttemptDispatcher(
                        config.transport(), environment, tracker, counters, writeBatch);
        registry = new EndpointRegistry(new DispatcherUpdates());
        tracker.setActionSink(
                new LoopActionSink(environment, clock, dispatcher, registry, wakeUpTimers));
        status = newStatusPublisher(requestScheduler, isVirtual);
        handler = newMessageHandler();
    }

    private RequestTracker newTracker() {
        return new RequestTracker(
                config.name() + "." + clock.getAsLong() + ".",
                config.deployment().responseSlackMicros(),
                counters,
                environment::releaseSlot,
                statistics,
                clock,
                writeBatch);
    }

    private StatusPublisher newStatusPublisher(
            RequestScheduler requestScheduler, boolean isVirtual) {
        return new StatusPublisher(
                environment,
                clock,
                isVirtual,
                newLifecycle(config.capacity()),
                new SnapshotBuilder(config.name(), requestScheduler, statistics),
                tracker,
                dispatcher,
                registry,
                timings);
    }

    private static Lifecycle newLifecycle(InitiatorConfig.CapacityLimits capacity) {
        return new Lifecycle(
                new Lifecycle.Thresholds(
                        capacity.endpointListTimeoutMicros(),
                        capacity.saturationThreshold(),
                        capacity.recoveryThreshold(),
                        MIN_SATURATED_MICROS));
    }

    private MessageHandler newMessageHandler() {
        return new MessageHandler(
                environment, clock, counters, tracker, dispatcher, registry, statistics, status);
    }

    /** Passes changes of the endpoint list to the dispatcher. */
    private final class DispatcherUpdates implements EndpointRegistry.TargetListener {
        @Override
        public void onListed(String target, Address address) {
            dispatcher.targetListed(target, address);
        }

        @Override
        public void onDraining(String target) {
            dispatcher.targetDraining(clock.getAsLong(), target);
        }

        @Override
        public void onUnlisted(String target) {
            dispatcher.targetUnlisted(clock.getAsLong(), target);
        }
    }
}
