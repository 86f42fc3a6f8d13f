package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
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
import milletyoke.wire.Wire;
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
    private final Loop loop;
    private final Counts counts;
    private final Set<String> categories;
    private final Set<String> plans;
    private final AtomicInteger places;
    private final Faults faults;
    private volatile boolean leaving;

    /** @param places how many accesses may still be taken; given back as they end */
    public Ingress(Setup setup, Loop loop, Counts counts, AtomicInteger places, Faults faults) {
        this.faults = faults;
        this.setup = setup;
        this.loop = loop;
        this.counts = counts;
        this.places = places;
        Provisioning given = setup.deployment().provisioning();
        categories = given.categories().stream().map(Provisioning.Category::name).collect(Collectors.toSet());
        plans = given.plans().stream().map(Provisioning.Plan::name).collect(Collectors.toSet());
    }

    /** From now on nothing new is taken. */
    public void leave() {
        leaving = true;
    }

    @Override
    public void ready(Peer peer) {
        LOG.debug("client {} is here", peer);
    }

    @Override
    public void got(Peer peer, Frame frame) throws BadFrame {
        switch (frame.getBodyCase()) {
            case ACCESS -> access(peer, frame.getAccess());
            case LEAVE -> loop.tell(new Told.Left(peer, frame.getLeave().getNumber()));
            default -> throw new BadFrame("a client sends accesses and leaves, not " + frame.getBodyCase());
        }
    }

    private void access(Peer peer, Access a) {
        if (!acceptable(a)) {
            reject(peer, a, Reason.UNACCEPTABLE, Count.UNACCEPTABLE);
        } else if (leaving) {
            reject(peer, a, Reason.LEAVING, Count.REJECTED_LEAVING);
        } else if (places.getAndDecrement() <= 0) {
            places.getAndIncrement();
            reject(peer, a, Reason.NO_PLACE, Count.NO_PLACE);
        } else if (!loop.offer(new Told.Taken(peer, a, Wire.micros()))) {
            places.getAndIncrement();
            reject(peer, a, Reason.NO_PLACE, Count.NO_PLACE);
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

    private void reject(Peer peer, Access a, Reason reason, Count count) {
        counts.add(count);
        peer.send(Frame.newBuilder().setAnswer(Answer.newBuilder().setNumber(a.getNumber())
                .setFinal(Final.REJECTED).setReason(reason)).build());
    }

    @Override
    public void closed(Peer peer, String why) {
        LOG.debug("client {} is gone: {}", peer, why);
        faults.closed("client", peer);
        loop.tell(new Told.ClientGone((Line) peer));
    }
}
