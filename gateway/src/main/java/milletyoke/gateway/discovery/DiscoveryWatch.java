package milletyoke.gateway.discovery;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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
 * The connection to discovery, kept up for as long as the initiator lives. Where lists must be
 * asked for, the decisions say when; where they are pushed, a fresh connection is itself the
 * asking.
 */
public final class DiscoveryWatch implements PeerListener {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

    /** Waits between tries to connect (milliseconds). */
    private static final long FIRST_WAIT = 50, LONGEST_WAIT = 2_000;

    private final InitiatorConfig setup;
    private final Network wire;
    private final EventLoop loop;
    private final ScheduledExecutorService side;
    private final SplittableRandom chance;
    private final boolean asked;
    private PeerConnection peer;
    private long wait = FIRST_WAIT;
    private boolean stopped;

    public DiscoveryWatch(
            InitiatorConfig setup,
            Network wire,
            EventLoop loop,
            ScheduledExecutorService side,
            long seed) {
        this.setup = setup;
        this.wire = wire;
        this.loop = loop;
        this.side = side;
        chance = new SplittableRandom(seed);
        asked = setup.deployment().scheduler().mustWatchEndpoints();
    }

    public synchronized void connect() {
        if (!stopped) {
            var at = setup.discovery();
            FrameLimits bounds =
                    new FrameLimits(
                            Math.max(setup.transport().maxFrameBytes(), 16 << 20),
                            setup.transport().maxUnsentBytes(),
                            setup.transport().partialFrameTimeoutMicros(),
                            0);
            wire.connect(at.host(), at.port(), Role.INITIATOR, this, bounds, this::down);
        }
    }

    public synchronized void stop() {
        stopped = true;
    }

    /** Sends what the decisions asked for, or tells them that it cannot be had. */
    public synchronized void follow(long version) {
        boolean sent =
                peer != null
                        && peer.send(
                                Frame.newBuilder()
                                        .setWatch(Watch.newBuilder().setRevision(version))
                                        .build());
        if (!sent) {
            loop.post(new LoopMessage.DiscoveryUnavailable("discovery is not connected"));
        }
    }

    @Override
    public synchronized void onReady(PeerConnection made) {
        peer = made;
        wait = FIRST_WAIT;
        if (!asked) {
            made.send(Frame.newBuilder().setWatch(Watch.newBuilder()).build());
        }
    }

    @Override
    public void onFrame(PeerConnection from, Frame frame) throws MalformedFrameException {
        if (frame.getBodyCase() != Frame.BodyCase.ENDPOINT_LIST) {
            throw new MalformedFrameException("discovery sends lists, not " + frame.getBodyCase());
        }
        if (frame.getEndpointList().getScope() == Scope.UNAVAILABLE) {
            loop.post(new LoopMessage.DiscoveryUnavailable("discovery could not serve"));
        } else {
            loop.post(new LoopMessage.EndpointListReceived(frame.getEndpointList()));
        }
    }

    @Override
    public void onClosed(PeerConnection gone, String why) {
        down(why);
    }

    private void down(String why) {
        boolean subscribed;
        synchronized (this) {
            if (stopped) {
                return;
            }
            subscribed = peer != null;
            peer = null;
            long in = wait / 2 + chance.nextLong(wait);
            wait = Math.min(LONGEST_WAIT, 2 * wait);
            side.schedule(this::connect, in, TimeUnit.MILLISECONDS);
        }
        if (subscribed) {
            LOG.warn(
                    "discovery at {} is lost: {}; the list held stays in use",
                    setup.discovery(),
                    why);
            loop.post(new LoopMessage.DiscoveryUnavailable(why));
        }
    }
}
