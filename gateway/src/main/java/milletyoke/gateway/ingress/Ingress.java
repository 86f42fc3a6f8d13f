package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import milletyoke.config.Fleet;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.loop.Counts;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.loop.Told;
import milletyoke.gateway.setup.Setup;
import milletyoke.port.Provisioning;
import milletyoke.wire.BadFrame;
import milletyoke.wire.Line;
import milletyoke.wire.Peer;
import milletyoke.wire.PeerHandler;
import milletyoke.wire.World;
import milletyoke.wire.capture.CaptureWriter;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Final;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Reason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' side. An access that this initiator cannot take at all gets its rejection here, at
 * once and with the reason, and never reaches the decisions; all others do. Runs on the threads
 * that serve sockets.
 */
public final class Ingress implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Ingress.class);

    private final World world;
    private final Loop loop;
    private final Counts counts;
    private final Door door;
    private final Faults faults;
    private volatile boolean leaving;
    private volatile Fleet fleet;
    private volatile CaptureWriter capture;
    private final Set<Peer> clients = ConcurrentHashMap.newKeySet();

    public Ingress(Setup setup, World world, Loop loop, Counts counts, Gate gate, Faults faults) {
        this.faults = faults;
        this.world = world;
        this.loop = loop;
        this.counts = counts;
        door = new Door(setup, loop, gate);
    }

    /**
     * Where the configuration names a volume, its plan and hosts are what that says, whatever a
     * client says.
     */
    public void configure(Fleet fleet) {
        this.fleet = fleet;
    }

    private Access configured(Access a) {
        Fleet.Block volume = fleet == null ? null : fleet.volume(a.getVolume());
        if (volume == null) {
            return a;
        }
        return a.toBuilder()
                .setPlan(volume.text("plan"))
                .setHosts((int) volume.figure("hosts"))
                .build();
    }

    /**
     * Accesses may name these categories and plans from now on; the decisions know them already.
     */
    public void provision(Provisioning given) {
        door.provision(given);
    }

    /**
     * What comes in and could be taken is kept there too, whether it is or not; null for no more.
     */
    public void capture(CaptureWriter to) {
        capture = to;
    }

    /**
     * From now on nothing new is taken, and every client is asked to close once it has its answers.
     */
    public void leave() {
        leaving = true;
        door.leave();
        clients.forEach(c -> c.goingAway("this initiator leaves"));
    }

    /**
     * Waits until the clients that were asked to have closed; what still comes from them is
     * rejected meanwhile. Guards what crossed our goodbye: closed before it is read, it would have
     * no answer, and the reset that follows may take answers with it that are still on their way.
     * Could hold up the end by {@code millis} where a client does not close.
     */
    public void awaitGoodbyes(long millis) throws InterruptedException {
        long until = world.micros() + millis * 1000;
        while (owesGoodbyes() && world.micros() < until) {
            world.sleep(1_000);
        }
    }

    /** Whether a client that was asked to close has not. */
    public boolean owesGoodbyes() {
        return clients.stream().anyMatch(c -> c.isOpen() && c.knowsGoingAway());
    }

    @Override
    public void ready(Peer peer) {
        LOG.debug("client {} is here", peer);
        clients.add(peer);
        if (leaving) { // it connected while the others were told
            peer.goingAway("this initiator leaves");
        }
    }

    @Override
    public void got(Peer peer, Frame frame) throws BadFrame {
        switch (frame.getBodyCase()) {
            case ACCESS -> access(peer, configured(frame.getAccess()));
            case LEAVE -> loop.tell(new Told.Left(peer, frame.getLeave().getNumber()));
            default ->
                    throw new BadFrame(
                            "a client sends accesses and leaves, not " + frame.getBodyCase());
        }
    }

    private void access(Peer peer, Access a) {
        if (!door.acceptable(a)) {
            reject(peer, a, Reason.UNACCEPTABLE, Count.UNACCEPTABLE, 0);
            return;
        }
        CaptureWriter to = capture;
        if (to != null) {
            to.came(world.micros(), a);
        }
        Door.Refusal refusal = door.admit(peer, a, world.micros());
        if (refusal != null) {
            reject(peer, a, refusal.reason(), refusal.count(), refusal.retryIn());
        }
    }

    private void reject(Peer peer, Access a, Reason reason, Count count, long retryIn) {
        counts.add(count);
        peer.send(
                Frame.newBuilder()
                        .setAnswer(
                                Answer.newBuilder()
                                        .setNumber(a.getNumber())
                                        .setFinal(Final.REJECTED)
                                        .setReason(reason)
                                        .setRetryIn(retryIn))
                        .build());
    }

    @Override
    public void closed(Peer peer, String why) {
        LOG.debug("client {} is gone: {}", peer, why);
        clients.remove(peer);
        faults.closed("client", peer);
        loop.tell(new Told.ClientGone((Line) peer));
    }
}
