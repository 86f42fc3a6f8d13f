package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import milletyoke.admission.Admission;
import milletyoke.config.Fleet;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.loop.Counts;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.loop.Told;
import milletyoke.gateway.setup.Setup;
import milletyoke.lifecycle.Condition;
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
 * The clients' side. An access that this initiator cannot take at all gets its rejection here, at once and with the
 * reason, and never reaches the decisions; all others do. Runs on the threads that serve sockets.
 */
public final class Ingress implements PeerHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Ingress.class);
    private static final int LONGEST_NAME = 512, MOST_HOSTS = 100_000;

    private final Setup setup;
    private final World world;
    private final Loop loop;
    private final Counts counts;
    private volatile Set<String> categories;
    private volatile Set<String> plans;
    private final Gate gate;
    private final Faults faults;
    private volatile boolean leaving;
    private volatile Fleet fleet;
    private volatile CaptureWriter capture;
    private final Set<Peer> clients = ConcurrentHashMap.newKeySet();

    public Ingress(Setup setup, World world, Loop loop, Counts counts, Gate gate, Faults faults) {
        this.faults = faults;
        this.setup = setup;
        this.world = world;
        this.loop = loop;
        this.counts = counts;
        this.gate = gate;
        provision(setup.deployment().provisioning());
    }

    /** Where the configuration names a volume, its plan and hosts are what that says, whatever a client says. */
    public void configure(Fleet fleet) {
        this.fleet = fleet;
    }

    private Access configured(Access a) {
        Fleet.Block volume = fleet == null ? null : fleet.volume(a.getVolume());
        if (volume == null) {
            return a;
        }
        return a.toBuilder().setPlan(volume.text("plan")).setHosts((int) volume.figure("hosts")).build();
    }

    /** Accesses may name these categories and plans from now on; the decisions know them already. */
    public void provision(Provisioning given) {
        categories = given.categories().stream().map(Provisioning.Category::name).collect(Collectors.toSet());
        plans = given.plans().stream().map(Provisioning.Plan::name).collect(Collectors.toSet());
    }

    /** What comes in and could be taken is kept there too, whether it is or not; null for no more. */
    public void capture(CaptureWriter to) {
        capture = to;
    }

    /** From now on nothing new is taken, and every client is asked to close once it has its answers. */
    public void leave() {
        leaving = true;
        clients.forEach(c -> c.goingAway("this initiator leaves"));
    }

    /**
     * Waits until the clients that were asked to have closed; what still comes from them is rejected meanwhile. Guards
     * what crossed our goodbye: closed before it is read, it would have no answer, and the reset that follows may take
     * answers with it that are still on their way. Could hold up the end by {@code millis} where a client does not close.
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
            default -> throw new BadFrame("a client sends accesses and leaves, not " + frame.getBodyCase());
        }
    }

    private void access(Peer peer, Access a) {
        Condition condition = leaving ? Condition.LEAVING : loop.condition();
        if (!acceptable(a)) {
            reject(peer, a, Reason.UNACCEPTABLE, Count.UNACCEPTABLE, 0);
            return;
        }
        CaptureWriter to = capture;
        if (to != null) {
            to.came(world.micros(), a);
        }
        if (!condition.admits()) {
            reject(peer, a, reason(condition), Count.REJECTED_CONDITION, 0);
        } else {
            admit(peer, a);
        }
    }

    private static Reason reason(Condition condition) {
        return switch (condition) {
            case LEAVING -> Reason.LEAVING;
            case DRAINING -> Reason.DRAINED;
            default -> Reason.NOT_READY;
        };
    }

    private void admit(Peer peer, Access a) {
        long now = world.micros();
        Admission.Verdict verdict = gate.ask(peer, a, now);
        if (!verdict.admitted()) {
            boolean mayAdvise = setup.deployment().provisioning().allowances().advice();
            reject(peer, a, Reason.NO_PLACE, Count.NO_PLACE, mayAdvise ? verdict.retryIn() : 0);
        } else if (!loop.offer(new Told.Taken(peer, a, now))) {
            gate.release(peer, a, 0);
            reject(peer, a, Reason.NO_PLACE, Count.NO_PLACE, 0);
        }
    }

    /** What would make the decisions keep state without bound, or has no meaning to them. */
    private boolean acceptable(Access a) {
        return categories.contains(a.getCategory()) && plans.contains(a.getPlan()) && !a.getVolume().isEmpty()
                && a.getVolume().length() <= LONGEST_NAME && a.getExtent().length() <= LONGEST_NAME
                && a.getMark().length() <= LONGEST_NAME && a.getUnits() > 0 && a.getUnits() <= setup.room().largest()
                && a.getTimeLeft() > 0 && a.getTimeLeft() <= setup.room().longest()
                && a.getHosts() >= 0 && a.getHosts() <= MOST_HOSTS
                && (!a.hasShard() || a.getShard() >= 0 && a.getShard() < setup.room().shards());
    }

    private void reject(Peer peer, Access a, Reason reason, Count count, long retryIn) {
        counts.add(count);
        peer.send(Frame.newBuilder().setAnswer(Answer.newBuilder().setNumber(a.getNumber())
                .setFinal(Final.REJECTED).setReason(reason).setRetryIn(retryIn)).build());
    }

    @Override
    public void closed(Peer peer, String why) {
        LOG.debug("client {} is gone: {}", peer, why);
        clients.remove(peer);
        faults.closed("client", peer);
        loop.tell(new Told.ClientGone((Line) peer));
    }
}
