package milletyoke.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import milletyoke.admission.Admission;
import milletyoke.config.Fleet;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.console.Console;
import milletyoke.gateway.discovery.DiscoveryWatch;
import milletyoke.gateway.discovery.EndpointListCache;
import milletyoke.gateway.ingress.ClientListener;
import milletyoke.gateway.ingress.ConcurrentAdmission;
import milletyoke.gateway.ingress.ProtocolViolationLog;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.wire.Connection;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.Network;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Role;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One initiator with its sockets. Creates, starts and stops the components.
 *
 * <p>Shutdown proceeds in this order: requests are no longer admitted and clients are asked to
 * close; the listening socket closes; the event loop resolves its requests and ends; clients get
 * time to close; then the capture, discovery, the console and the network are closed.
 */
public final class Initiator implements EventLoop.LoopEnvironment {
    private static final Logger LOG = LoggerFactory.getLogger(Initiator.class);

    private static final long CONFIG_CHECK_INTERVAL_MILLIS = 500;
    private static final long MICROS_PER_MILLI = 1_000;

    private final InitiatorConfig config;
    private final Counters counters = new Counters();
    private final ConcurrentAdmission admission;
    private final ExecutionEnvironment execution;
    private final Network network;
    private final EventLoop eventLoop;
    private final ProtocolViolationLog violationLog;
    private final ClientListener clientListener;
    private final Network.Listener listener;
    private final DiscoveryWatch discoveryWatch;
    private final ScheduledExecutorService sideExecutor;
    private final FrameLimits frameLimits;
    private final TrafficCapture capture;

    /** Null if the endpoint list is not saved. */
    private final EndpointListCache endpointListCache;

    /** Null if there is no configuration to watch. */
    private final ConfigWatcher configWatcher;

    /** Null if no console is configured. */
    private Console console;

    private Initiator(
            InitiatorConfig config,
            FrameObserver frameObserver,
            ExecutionEnvironment execution,
            long seed,
            Supplier<Scheduler> schedulerFactory)
            throws IOException {
        this.config = config;
        this.execution = execution;
        admission = new ConcurrentAdmission(capacityLimits(config));
        endpointListCache =
                config.stateDirectory() == null
                        ? null
                        : new EndpointListCache(config.stateDirectory(), !execution.isVirtual());
        InitiatorConfig.Transport transport = config.transport();
        frameLimits =
                new FrameLimits(
                        transport.maxFrameBytes(),
                        transport.maxUnsentBytes(),
                        transport.partialFrameTimeoutMicros(),
                        0);
        network = execution.openNetwork(config.name(), transport.ioThreads(), frameObserver);
        sideExecutor = execution.newTimerExecutor(config.name() + "-side", 1);
        eventLoop = new EventLoop(config, this, execution, counters, schedulerFactory);
        violationLog = new ProtocolViolationLog(counters, execution::monotonicMicros);
        clientListener =
                new ClientListener(config, execution, eventLoop, counters, admission, violationLog);
        capture = new TrafficCapture(clientListener, sideExecutor);
        configWatcher = config.fleet() == null ? null : watchConfig(config);
        discoveryWatch = new DiscoveryWatch(config, network, eventLoop, sideExecutor, ~seed);
        listener = listen(config.listen());
    }

    private static Admission.CapacityLimits capacityLimits(InitiatorConfig config) {
        InitiatorConfig.CapacityLimits limits = config.capacity();
        return new Admission.CapacityLimits(
                limits.maxRequests(),
                limits.maxPayloadBytes(),
                limits.connectionShare(),
                limits.volumeShare(),
                config.deployment().scheduler().capabilities().maxRetryAfterMicros());
    }

    private ConfigWatcher watchConfig(InitiatorConfig initial) {
        ConfigWatcher watcher =
                new ConfigWatcher(
                        initial.fleet().file(),
                        initial.stateDirectory(),
                        initial.fleet().fleet(),
                        initial.fleet().files(),
                        this::applyConfig);
        clientListener.configure(initial.fleet().fleet());
        return watcher;
    }

    private Network.Listener listen(Address address) throws IOException {
        try {
            return network.listen(
                    address.host(), address.port(), Role.INITIATOR, clientListener, frameLimits);
        } catch (IOException unavailable) {
            network.close();
            sideExecutor.shutdownNow();
            throw unavailable;
        }
    }

    /**
     * Starts an initiator.
     *
     * @throws IOException if an address or directory is unavailable; nothing is left running
     * @throws ConfigException if the console's tokens are invalid; nothing is left running
     */
    public static Initiator start(InitiatorConfig config, FrameObserver frameObserver)
            throws IOException, ConfigException {
        return start(
                config,
                frameObserver,
                new SocketEnvironment(),
                ThreadLocalRandom.current().nextLong(),
                null);
    }

    /**
     * Starts an initiator in an execution environment.
     *
     * @param seed of the random generators of the scheduler and of the reconnect backoff
     * @param schedulerFactory creates a scheduler to replace the default one; null in production
     * @throws IOException if an address or directory is unavailable; nothing is left running
     * @throws ConfigException if the console's tokens are invalid; nothing is left running
     */
    public static Initiator start(
            InitiatorConfig config,
            FrameObserver frameObserver,
            ExecutionEnvironment execution,
            long seed,
            Supplier<Scheduler> schedulerFactory)
            throws IOException, ConfigException {
        Initiator initiator =
                new Initiator(config, frameObserver, execution, seed, schedulerFactory);
        initiator.start(seed);
        return initiator;
    }

    private void start(long seed) throws IOException, ConfigException {
        EndpointList restored = endpointListCache == null ? null : endpointListCache.load();
        eventLoop.start(seed, restored);
        if (config.console() != null) {
            startConsole();
        }
        if (configWatcher != null) {
            var unused =
                    sideExecutor.scheduleWithFixedDelay(
                            configWatcher::checkForChanges,
                            CONFIG_CHECK_INTERVAL_MILLIS,
                            CONFIG_CHECK_INTERVAL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
        discoveryWatch.connect();
        LOG.info(
                "{} accepts requests at {}:{}, {} targets in the last known endpoint list",
                config.name(),
                config.listen().host(),
                port(),
                restored == null ? 0 : restored.getTargetCount());
    }

    private void startConsole() throws IOException, ConfigException {
        try {
            console = new Console(config.console(), config, eventLoop, counters, configWatcher);
        } catch (IOException | ConfigException unusable) {
            kill();
            throw unusable;
        }
    }

    /** Applies a new version. The scheduler must have a plan before a request can name it. */
    private void applyConfig(Fleet fleet) {
        SchedulerSettings settings = FleetConverter.deployment(fleet).scheduler();
        eventLoop.post(new LoopMessage.ApplySettings(settings));
        eventLoop.post(new LoopMessage.RunTask(() -> clientListener.configure(fleet)));
    }

    /** Returns the initiator's name. */
    public String name() {
        return config.name();
    }

    /** Returns the port on which clients connect. */
    public int port() {
        return listener.port();
    }

    /** Returns the port on which the console listens; 0 if there is no console. */
    public int consolePort() {
        return console == null ? 0 : console.port();
    }

    /** Returns the counters since the start. */
    public Counters counters() {
        return counters;
    }

    /** Returns the event loop. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /**
     * Starts to record the valid requests that are received, for replay. A slow disk delays no
     * request: requests that cannot be buffered are left out of the file, which counts them.
     *
     * @throws IOException if the file cannot be created or already exists
     */
    public void captureTo(Path file) throws IOException {
        capture.start(file, config.name(), execution.monotonicMicros());
    }

    // ---- Shutdown ----

    /**
     * Shuts down gracefully and waits for the end.
     *
     * @param millis maximum time to wait for pending requests; those that are left then are
     *     rejected, or failed if they may have been executed
     * @return whether every request was resolved in time and the event loop did not fail
     */
    public boolean shutDown(long millis) throws InterruptedException {
        return close(newShutdownSequence().run(millis));
    }

    /**
     * Shuts down like {@link #shutDown}, but returns at once and polls on the side thread.
     *
     * @param onEnd runs when the initiator has ended
     */
    public void beginShutdown(long millis, Runnable onEnd) {
        newShutdownSequence()
                .begin(
                        millis,
                        isClean -> {
                            close(isClean);
                            onEnd.run();
                        });
    }

    private ShutdownSequence newShutdownSequence() {
        return new ShutdownSequence(execution, sideExecutor, eventLoop, clientListener, listener);
    }

    private boolean close(boolean isClean) {
        capture.stop();
        eventLoop.kill();
        discoveryWatch.stop();
        if (console != null) {
            console.close();
        }
        network.close();
        sideExecutor.shutdown();
        LOG.info(
                "{} has left{}: {}",
                config.name(),
                isClean ? "" : " after requests were ended at the timeout",
                counters);
        return isClean && eventLoop.fault() == null;
    }

    /** Ends as a kill of the process would: connections are reset and requests get no response. */
    public void kill() {
        eventLoop.kill();
        discoveryWatch.stop();
        if (console != null) {
            console.close();
        }
        network.abort();
        sideExecutor.shutdownNow();
    }

    /**
     * Stalls the event loop, as a long pause of the process would; for scenarios.
     *
     * @param onEnd runs on the loop's thread when the stall ends
     */
    public void stall(long millis, Runnable onEnd) {
        eventLoop.stall(millis * MICROS_PER_MILLI, onEnd);
    }

    // ---- EventLoop.LoopEnvironment ----

    @Override
    public PendingConnect connect(String target, Address address, long connectNumber) {
        Network.ConnectAttempt attempt =
                network.connect(
                        address.host(),
                        address.port(),
                        Role.INITIATOR,
                        new TargetConnectionListener(
                                target,
                                connectNumber,
                                eventLoop,
                                execution::monotonicMicros,
                                violationLog),
                        frameLimits,
                        reason ->
                                eventLoop.post(
                                        new LoopMessage.ConnectFailed(
                                                target, connectNumber, reason)));
        return attempt::cancel;
    }

    @Override
    public void watchEndpoints(long revision) {
        discoveryWatch.watch(revision);
    }

    @Override
    public void endpointListChanged(EndpointList list) {
        if (endpointListCache != null && endpointListCache.replacePending(list)) {
            sideExecutor.execute(endpointListCache::save);
        }
    }

    @Override
    public void settingsApplied(SchedulerSettings settings) {
        clientListener.applySettings(settings);
    }

    @Override
    public void releaseSlot(Connection client, Request request, long stayMicros) {
        admission.release(client, request, stayMicros);
    }

    @Override
    public double utilization() {
        return admission.utilization();
    }

    @Override
    public int slotsInUse() {
        return admission.acquired();
    }
}
