package milletyoke.gateway.discovery;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.wire.FrameLimits;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.Network;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.Scope;
import milletyoke.wire.proto.Watch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the connection to discovery, reconnecting with exponential backoff while the initiator
 * runs. Depending on the settings, watches are started by the scheduler, or by each new connection,
 * after which discovery pushes every change. Thread-safe.
 */
public final class DiscoveryWatch implements PeerListener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /** Minimum frame size limit, because an endpoint list may be larger than other frames. */
    private static final int MIN_FRAME_LIMIT_BYTES = 16 << 20;

    private final InitiatorConfig config;
    private final Network network;
    private final EventLoop loop;
    private final ScheduledExecutorService sideExecutor;
    private final SplittableRandom random;

    /** Whether the scheduler starts each watch; if not, discovery pushes the endpoint lists. */
    private final boolean isSchedulerWatching;

    /** Null if there is no connection. */
    private PeerConnection peer;

    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean isStopped;

    /**
     * Creates a watch without a connection.
     *
     * @param sideExecutor runs the reconnects
     * @param seed of the random part of the backoff
     */
    public DiscoveryWatch(
            InitiatorConfig config,
            Network network,
            EventLoop loop,
            ScheduledExecutorService sideExecutor,
            long seed) {
        this.config = config;
        this.network = network;
        this.loop = loop;
        this.sideExecutor = sideExecutor;
        random = new SplittableRandom(seed);
        isSchedulerWatching = config.deployment().scheduler().mustWatchEndpoints();
    }

    /** Starts a connect unless stopped. */
    public synchronized void connect() {
        if (isStopped) {
            return;
        }
        InitiatorConfig.Transport transport = config.transport();
        FrameLimits limits =
                new FrameLimits(
                        Math.max(transport.maxFrameBytes(), MIN_FRAME_LIMIT_BYTES),
                        transport.maxUnsentBytes(),
                        transport.partialFrameTimeoutMicros(),
                        0);
        Address address = config.discovery();
        network.connect(
                address.host(),
                address.port(),
                Role.INITIATOR,
                this,
                limits,
                this::handleDisconnect);
    }

    /** Stops reconnecting. The connection itself is closed with the network. */
    public synchronized void stop() {
        isStopped = true;
    }

    /**
     * Requests every change after a revision; notifies the event loop if discovery is not
     * connected.
     */
    public synchronized void watch(long revision) {
        boolean isSent = peer != null && peer.send(watchFrame(revision));
        if (!isSent) {
            loop.post(new LoopMessage.DiscoveryUnavailable("discovery is not connected"));
        }
    }

    private static Frame watchFrame(long revision) {
        return Frame.newBuilder().setWatch(Watch.newBuilder().setRevision(revision)).build();
    }

    @Override
    public synchronized void onReady(PeerConnection connected) {
        peer = connected;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        if (!isSchedulerWatching) {
            connected.send(watchFrame(0));
        }
    }

    @Override
    public void onFrame(PeerConnection from, Frame frame) throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.ENDPOINT_LIST) {
            throw new MalformedFrameException("discovery sends lists, not " + frame.getBodyCase());
        }
        if (frame.getEndpointList().getScope() == Scope.UNAVAILABLE) {
            loop.post(new LoopMessage.DiscoveryUnavailable("discovery has no endpoint list"));
        } else {
            loop.post(new LoopMessage.EndpointListReceived(frame.getEndpointList()));
        }
    }

    @Override
    public void onClosed(PeerConnection closed, String reason) {
        handleDisconnect(reason);
    }

    private void handleDisconnect(String reason) {
        boolean wasConnected;
        synchronized (this) {
            if (isStopped) {
                return;
            }
            wasConnected = peer != null;
            peer = null;
            scheduleReconnect();
        }
        if (wasConnected) {
            LOG.warn(
                    "discovery connection lost address={} reason={}; the endpoint list stays in use",
                    config.discovery(),
                    reason);
            loop.post(new LoopMessage.DiscoveryUnavailable(reason));
        }
    }

    private void scheduleReconnect() {
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
        var unused = sideExecutor.schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
    }
}
