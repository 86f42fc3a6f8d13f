package milletyoke.gateway.loop;

import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import milletyoke.gateway.dispatch.AttemptDispatcher;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.lifecycle.LifecycleEvent;
import milletyoke.scheduler.api.Event;
import milletyoke.wire.proto.EndpointList;

/**
 * Dispatches each message to the component that handles it, and collects the resulting events for
 * the scheduler. Owned by the event loop.
 */
final class MessageHandler implements LoopMessage.Visitor {
    /** Event kinds that the console shows. */
    private static final String LIST_EVENT = "list";

    private static final String CONFIGURATION_EVENT = "configuration";
    private static final String OPERATOR_EVENT = "operator";

    private final EventLoop.LoopEnvironment environment;
    private final LongSupplier clock;
    private final Counters counters;
    private final RequestTracker tracker;
    private final AttemptDispatcher dispatcher;
    private final EndpointRegistry registry;
    private final ServiceStatistics statistics;
    private final StatusPublisher status;
    private boolean isShutdownRequested;

    /** When the current message was taken from the queue. */
    private long nowMicros;

    MessageHandler(
            EventLoop.LoopEnvironment environment,
            LongSupplier clock,
            Counters counters,
            RequestTracker tracker,
            AttemptDispatcher dispatcher,
            EndpointRegistry registry,
            ServiceStatistics statistics,
            StatusPublisher status) {
        this.environment = environment;
        this.clock = clock;
        this.counters = counters;
        this.tracker = tracker;
        this.dispatcher = dispatcher;
        this.registry = registry;
        this.statistics = statistics;
        this.status = status;
    }

    void handle(LoopMessage message) {
        nowMicros = clock.getAsLong();
        message.accept(this);
    }

    boolean isShutdownRequested() {
        return isShutdownRequested;
    }

    @Override
    public void onRequestReceived(LoopMessage.RequestReceived message) {
        tracker.receive(nowMicros, message.receivedAtMicros(), message.client(), message.request());
    }

    @Override
    public void onRequestCancelled(LoopMessage.RequestCancelled message) {
        tracker.requestCancelled(message.client(), message.number());
    }

    @Override
    public void onClientDisconnected(LoopMessage.ClientDisconnected message) {
        tracker.clientDisconnected(message.client());
    }

    @Override
    public void onConnectSucceeded(LoopMessage.ConnectSucceeded message) {
        dispatcher.connectSucceeded(
                nowMicros, message.target(), message.connectNumber(), message.connection());
    }

    @Override
    public void onConnectFailed(LoopMessage.ConnectFailed message) {
        dispatcher.connectFailed(
                nowMicros, message.target(), message.connectNumber(), message.reason());
    }

    @Override
    public void onConnectionLost(LoopMessage.ConnectionLost message) {
        dispatcher.connectionLost(
                nowMicros,
                message.target(),
                message.connection(),
                message.refused(),
                message.unwritten());
    }

    @Override
    public void onFrameWritten(LoopMessage.FrameWritten message) {
        dispatcher.frameWritten(message.connection(), message.number(), message.writtenAtMicros());
    }

    @Override
    public void onAttemptReplied(LoopMessage.AttemptReplied message) {
        dispatcher.attemptReplied(
                nowMicros, message.receivedAtMicros(), message.connection(), message.reply());
    }

    @Override
    public void onProbeReplied(LoopMessage.ProbeReplied message) {
        dispatcher.probeReplied(
                nowMicros,
                message.receivedAtMicros(),
                message.connection(),
                message.number(),
                message.load());
    }

    @Override
    public void onEndpointListReceived(LoopMessage.EndpointListReceived message) {
        EndpointList list = message.list();
        counters.increment(Counter.ENDPOINT_LISTS);
        tracker.addEvent(registry.apply(nowMicros, list, false));
        String scope = list.getScope().name().toLowerCase(Locale.ROOT);
        status.recordEvent(
                nowMicros,
                LIST_EVENT,
                "revision "
                        + list.getRevision()
                        + ", "
                        + scope
                        + ", targets: "
                        + list.getTargetCount());
        status.apply(new LifecycleEvent.EndpointListReceived(registry.usableCount(), false));
        environment.endpointListChanged(registry.snapshot());
    }

    @Override
    public void onDiscoveryUnavailable(LoopMessage.DiscoveryUnavailable message) {
        counters.increment(Counter.DISCOVERY_UNAVAILABLE);
        tracker.addEvent(new Event.EndpointListReceived(Event.ListScope.UNAVAILABLE, List.of()));
        status.recordEvent(nowMicros, LIST_EVENT, "discovery unavailable: " + message.reason());
        status.apply(new LifecycleEvent.DiscoveryUnavailable());
    }

    @Override
    public void onBeginShutdown(LoopMessage.BeginShutdown message) {
        isShutdownRequested = true;
        status.apply(new LifecycleEvent.ShutdownRequested());
    }

    @Override
    public void onEndRequests(LoopMessage.EndRequests message) {
        tracker.addEvent(new Event.ShutdownDeadlineReached());
    }

    @Override
    public void onApplySettings(LoopMessage.ApplySettings message) {
        statistics.applySettings(message.settings());
        tracker.addEvent(new Event.SettingsChanged(message.settings()));
        status.recordEvent(nowMicros, CONFIGURATION_EVENT, "a new version is in force");
        environment.settingsApplied(message.settings());
    }

    @Override
    public void onDrainInitiator(LoopMessage.DrainInitiator message) {
        status.apply(
                message.drained()
                        ? new LifecycleEvent.DrainRequested(message.operator())
                        : new LifecycleEvent.DrainCancelled(message.operator()));
    }

    @Override
    public void onDrainTarget(LoopMessage.DrainTarget message) {
        Event.EndpointListReceived change =
                registry.setDrained(nowMicros, message.target(), message.drained());
        if (change == null) {
            return;
        }
        tracker.addEvent(change);
        String verb = message.drained() ? " drained here by " : " put back by ";
        status.recordEvent(nowMicros, OPERATOR_EVENT, message.target() + verb + message.operator());
        status.apply(new LifecycleEvent.EndpointListReceived(registry.usableCount(), false));
    }

    @Override
    public void onRunTask(LoopMessage.RunTask message) {
        message.task().run();
    }
}
