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
import milletyoke.wire.Connection;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.capture.CaptureWriter;
import milletyoke.wire.proto.EndpointList;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Role;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One initiator on its sockets: puts the parts together, starts them and ends them. */
public final class Initiator implements EventLoop.LoopEnvironment {
    private static final Logger LOG = LoggerFactory.getLogger(Initiator.class);

    /** Milliseconds that clients have to close after their last answer. */
    private static final long LONGEST_GOODBYE = 1_000;

    private final InitiatorConfig setup;
    private final Counters counts = new Counters();
    private final ConcurrentAdmission gate;
    private final ExecutionEnvironment world;
    private final Network wire;
    private final EventLoop eventLoop;
    private final ProtocolViolationLog faults;
    private final ClientListener ingress;
    private final Network.Listener listener;
    private final EndpointListCache lastList;
    private final DiscoveryWatch subscription;
    private final ScheduledExecutorService side;
    private final FrameLimits toTargets;
    private final ConfigWatcher following;
    private Console console;
    private CaptureWriter captureTo;

    private Initiator(
            InitiatorConfig setup,
            FrameObserver tap,
            ExecutionEnvironment world,
            long seed,
            Supplier<Scheduler> instead)
            throws IOException {
        this.setup = setup;
        this.world = world;
        InitiatorConfig.CapacityLimits r = setup.capacity();
        gate =
                new ConcurrentAdmission(
                        new Admission.CapacityLimits(
                                r.requests(),
                                r.bytes(),
                                r.connectionShare(),
                                r.volumeShare(),
                                setup.deployment()
                                        .scheduler()
                                        .capabilities()
                                        .maxRetryAfterMicros()));
        lastList =
                setup.folder() == null
                        ? null
                        : new EndpointListCache(setup.folder(), !world.isVirtual());
        InitiatorConfig.Transport t = setup.transport();
        toTargets = new FrameLimits(t.frameBytes(), t.waitingBytes(), t.partialTime(), 0);
        wire = world.openNetwork(setup.name(), t.threads(), tap);
        side = world.newTimerExecutor(setup.name() + "-side", 1);
        eventLoop = new EventLoop(setup, this, world, counts, instead);
        faults = new ProtocolViolationLog(counts, world::monotonicMicros);
        ingress = new ClientListener(setup, world, eventLoop, counts, gate, faults);
        following =
                setup.fleet() == null
                        ? null
                        : new ConfigWatcher(
                                setup.fleet().file(),
                                setup.folder(),
                                setup.fleet().fleet(),
                                setup.fleet().files(),
                                this::watchEndpoints);
        if (setup.fleet() != null) {
            ingress.configure(setup.fleet().fleet());
        }
        subscription = new DiscoveryWatch(setup, wire, eventLoop, side, ~seed);
        try {
            listener =
                    wire.listen(
                            setup.listen().host(),
                            setup.listen().port(),
                            Role.INITIATOR,
                            ingress,
                            new FrameLimits(t.frameBytes(), t.waitingBytes(), t.partialTime(), 0));
        } catch (IOException taken) {
            wire.close();
            side.shutdownNow();
            throw taken;
        }
    }

    /**
     * Starts one.
     *
     * @throws IOException where an address or its folder cannot be had; nothing is left running
     * @throws SetupError where the console's tokens cannot be used; nothing is left running
     */
    public static Initiator start(InitiatorConfig setup, FrameObserver tap)
            throws IOException, ConfigException {
        return start(
                setup, tap, new SocketEnvironment(), ThreadLocalRandom.current().nextLong(), null);
    }

    /**
     * Starts one in a world.
     *
     * @param seed of all its chance: of the decisions, and of waits before it connects again
     * @param instead of the product's decisions, in a lab; null in service
     */
    public static Initiator start(
            InitiatorConfig setup,
            FrameObserver tap,
            ExecutionEnvironment world,
            long seed,
            Supplier<Scheduler> instead)
            throws IOException, ConfigException {
        Initiator made = new Initiator(setup, tap, world, seed, instead);
        EndpointList restored = made.lastList == null ? null : made.lastList.load();
        made.eventLoop.start(seed, restored);
        if (setup.console() != null) {
            try {
                made.console =
                        new Console(
                                setup.console(),
                                setup,
                                made.eventLoop,
                                made.counts,
                                made.following);
            } catch (IOException | ConfigException unusable) {
                made.kill();
                throw unusable;
            }
        }
        if (made.following != null) {
            made.side.scheduleWithFixedDelay(made.following::look, 500, 500, TimeUnit.MILLISECONDS);
        }
        made.subscription.connect();
        LOG.info(
                "{} takes accesses at {}:{}, {} targets known from before",
                setup.name(),
                setup.listen().host(),
                made.port(),
                restored == null ? 0 : restored.getTargetCount());
        return made;
    }

    /**
     * A version that holds from now on: the decisions know its plans before any access can name
     * one.
     */
    private void watchEndpoints(Fleet fleet) {
        eventLoop.post(new LoopMessage.ApplySettings(FleetConverter.deployment(fleet).scheduler()));
        eventLoop.post(new LoopMessage.RunTask(() -> ingress.configure(fleet)));
    }

    public String name() {
        return setup.name();
    }

    public int port() {
        return listener.port();
    }

    /**
     * Keeps what comes in from now on and could be taken, for replay. The daemon is not held up by
     * it: what a slow disk cannot take is left out and counted in the file.
     *
     * @throws IOException where the file cannot be made, or is there already
     */
    public synchronized void captureTo(Path file) throws IOException {
        CaptureWriter writer = new CaptureWriter(file, setup.name(), world.monotonicMicros());
        captureTo = writer;
        ingress.capture(writer);
        side.scheduleWithFixedDelay(() -> flush(writer), 500, 500, TimeUnit.MILLISECONDS);
    }

    private void flush(CaptureWriter writer) {
        try {
            writer.flush();
        } catch (IOException failed) {
            LOG.warn("the capture of traffic ends here: {}", failed.toString());
            ingress.capture(null);
        }
    }

    private synchronized void endCapture() {
        if (captureTo != null) {
            ingress.capture(null);
            try {
                captureTo.close();
            } catch (IOException failed) {
                LOG.warn(
                        "the last of the captured traffic could not be written: {}",
                        failed.toString());
            }
            captureTo = null;
        }
    }

    /** Where the console listens; 0 where there is none. */
    public int consolePort() {
        return console == null ? 0 : console.port();
    }

    public Counters counts() {
        return counts;
    }

    public EventLoop eventLoop() {
        return eventLoop;
    }

    /**
     * Takes nothing new, answers what is held, then ends.
     *
     * @param millis the longest to wait for that; every access held has its answer before its own
     *     time is up
     * @return whether all was answered
     */
    public boolean shutDown(long millis) throws InterruptedException {
        beginLeaving();
        boolean clean = eventLoop.awaitEnd(millis);
        ingress.awaitGoodbyes(LONGEST_GOODBYE);
        return end(clean);
    }

    private void beginLeaving() {
        ingress.leave();
        listener.stop();
        eventLoop.post(new LoopMessage.BeginShutdown());
    }

    /**
     * As {@link #shutDown}, for those who cannot wait: looks every few milliseconds whether all is
     * answered.
     *
     * @param then is run when it has ended
     */
    public void beginShutdown(long millis, Runnable then) {
        beginLeaving();
        look(world.monotonicMicros() + millis * 1000, then);
    }

    private void look(long until, Runnable then) {
        if (!eventLoop.hasEnded() && world.monotonicMicros() < until) {
            side.schedule(() -> look(until, then), 5, TimeUnit.MILLISECONDS);
        } else {
            lookForGoodbyes(world.monotonicMicros() + LONGEST_GOODBYE * 1000, then);
        }
    }

    private void lookForGoodbyes(long until, Runnable then) {
        if (ingress.owesGoodbyes() && world.monotonicMicros() < until) {
            side.schedule(() -> lookForGoodbyes(until, then), 5, TimeUnit.MILLISECONDS);
        } else {
            end(eventLoop.hasEnded());
            then.run();
        }
    }

    private boolean end(boolean clean) {
        endCapture();
        eventLoop.kill();
        subscription.stop();
        if (console != null) {
            console.close();
        }
        wire.close();
        side.shutdown();
        LOG.info(
                "{} has left{}: {}",
                setup.name(),
                clean ? "" : " with accesses unanswered",
                counts);
        return clean && eventLoop.fault() == null;
    }

    /** Ends as a kill of the process would: sockets are reset and nothing is answered. */
    public void kill() {
        eventLoop.kill();
        subscription.stop();
        if (console != null) {
            console.close();
        }
        wire.abort();
        side.shutdownNow();
    }

    /** Holds the loop, as a long pause of this process would hold it; for rehearsals. */
    public void stall(long millis, Runnable afterwards) {
        eventLoop.stall(millis * 1000, afterwards);
    }

    // ---- What the loop needs ----

    @Override
    public PendingConnect connect(String target, Address address, long dial) {
        Network.ConnectAttempt attempt =
                wire.connect(
                        address.host(),
                        address.port(),
                        Role.INITIATOR,
                        new LinkHandler(target, dial),
                        toTargets,
                        why -> eventLoop.post(new LoopMessage.ConnectFailed(target, dial, why)));
        return attempt::cancel;
    }

    @Override
    public void watchEndpoints(long version) {
        subscription.follow(version);
    }

    @Override
    public void endpointListChanged(EndpointList whole) {
        if (lastList != null && lastList.note(whole)) {
            side.execute(lastList::save);
        }
    }

    @Override
    public void settingsApplied(milletyoke.scheduler.api.SchedulerSettings provisioning) {
        ingress.provision(provisioning);
    }

    @Override
    public void releaseSlot(Connection client, Request access, long stay) {
        gate.release(client, access, stay);
    }

    @Override
    public double utilization() {
        return gate.utilization();
    }

    @Override
    public int slotsInUse() {
        return gate.acquired();
    }

    /** One connection to a target, from dialling to its end. */
    private final class LinkHandler implements PeerListener {
        private final String target;
        private final long dial;
        private volatile boolean ready;

        LinkHandler(String target, long dial) {
            this.target = target;
            this.dial = dial;
        }

        @Override
        public void onReady(PeerConnection peer) {
            ready = true;
            eventLoop.post(new LoopMessage.ConnectSucceeded(target, dial, peer));
        }

        @Override
        public void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException {
            switch (frame.getBodyCase()) {
                case ATTEMPT_REPLY ->
                        eventLoop.post(
                                new LoopMessage.AttemptReplied(
                                        peer, frame.getAttemptReply(), world.monotonicMicros()));
                case PROBE_REPLY ->
                        eventLoop.post(
                                new LoopMessage.ProbeReplied(
                                        peer,
                                        frame.getProbeReply().getNumber(),
                                        frame.getProbeReply().getLoad(),
                                        world.monotonicMicros()));
                default ->
                        throw new MalformedFrameException(
                                "a target sends replies, not " + frame.getBodyCase());
            }
        }

        @Override
        public void onClosed(PeerConnection peer, String why) {
            LOG.debug("link to {} is gone: {}", target, why);
            faults.closed("target " + target, peer);
            eventLoop.post(
                    ready
                            ? new LoopMessage.ConnectionLost(
                                    target, peer, why, peer.hasProcessedNothing(), 0)
                            : new LoopMessage.ConnectFailed(target, dial, why));
        }
    }
}
