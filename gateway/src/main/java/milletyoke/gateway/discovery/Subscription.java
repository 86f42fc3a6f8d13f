package milletyoke.gateway.discovery;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.loop.Told;
import milletyoke.gateway.setup.Setup;
import milletyoke.wire.BadFrame;
import milletyoke.wire.Bounds;
import milletyoke.wire.Net;
import milletyoke.wire.Peer;
import milletyoke.wire.PeerHandler;
import milletyoke.wire.proto.Follow;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Role;
import milletyoke.wire.proto.Scope;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection to discovery, kept up for as long as the initiator lives. Where lists must be
 * asked for, the decisions say when; where they are pushed, a fresh connection is itself the
 * asking.
 */
public final class Subscription implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Subscription.class);

    /** Waits between tries to connect (milliseconds). */
    private static final long FIRST_WAIT = 50, LONGEST_WAIT = 2_000;

    private final Setup setup;
    private final Net wire;
    private final Loop loop;
    private final ScheduledExecutorService side;
    private final SplittableRandom chance;
    private final boolean asked;
    private Peer peer;
    private long wait = FIRST_WAIT;
    private boolean stopped;

    public Subscription(
            Setup setup, Net wire, Loop loop, ScheduledExecutorService side, long seed) {
        this.setup = setup;
        this.wire = wire;
        this.loop = loop;
        this.side = side;
        chance = new SplittableRandom(seed);
        asked = setup.deployment().provisioning().listMustBeAsked();
    }

    public synchronized void connect() {
        if (!stopped) {
            var at = setup.discovery();
            Bounds bounds =
                    new Bounds(
                            Math.max(setup.transport().frameBytes(), 16 << 20),
                            setup.transport().waitingBytes(),
                            setup.transport().partialTime(),
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
                                        .setFollow(Follow.newBuilder().setVersion(version))
                                        .build());
        if (!sent) {
            loop.tell(new Told.ListUnavailable("discovery is not connected"));
        }
    }

    @Override
    public synchronized void ready(Peer made) {
        peer = made;
        wait = FIRST_WAIT;
        if (!asked) {
            made.send(Frame.newBuilder().setFollow(Follow.newBuilder()).build());
        }
    }

    @Override
    public void got(Peer from, Frame frame) throws BadFrame {
        if (frame.getBodyCase() != Frame.BodyCase.LIST) {
            throw new BadFrame("discovery sends lists, not " + frame.getBodyCase());
        }
        if (frame.getList().getScope() == Scope.UNAVAILABLE) {
            loop.tell(new Told.ListUnavailable("discovery could not serve"));
        } else {
            loop.tell(new Told.Listed(frame.getList()));
        }
    }

    @Override
    public void closed(Peer gone, String why) {
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
            loop.tell(new Told.ListUnavailable(why));
        }
    }
}
