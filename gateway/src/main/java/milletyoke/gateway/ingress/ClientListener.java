package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import milletyoke.config.Fleet;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.wire.Connection;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.capture.CaptureWriter;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Request;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' side. An access that this initiator cannot take at all gets its rejection here, at
 * once and with the reason, and never reaches the decisions; all others do. Runs on the threads
 * that serve sockets.
 */
public final class ClientListener implements PeerListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);

    private final ExecutionEnvironment world;
    private final EventLoop loop;
    private final Counters counts;
    private final RequestAdmission door;
    private final ProtocolViolationLog faults;
    private volatile boolean leaving;
    private volatile Fleet fleet;
    private volatile CaptureWriter capture;
    private final Set<PeerConnection> clients = ConcurrentHashMap.newKeySet();

    public ClientListener(
            InitiatorConfig setup,
            ExecutionEnvironment world,
            EventLoop loop,
            Counters counts,
            ConcurrentAdmission gate,
            ProtocolViolationLog faults) {
        this.faults = faults;
        this.world = world;
        this.loop = loop;
        this.counts = counts;
        door = new RequestAdmission(setup, loop, gate);
    }

    /**
     * Where the configuration names a volume, its plan and hosts are what that says, whatever a
     * client says.
     */
    public void configure(Fleet fleet) {
        this.fleet = fleet;
    }

    private Request configured(Request a) {
        Fleet.Block volume = fleet == null ? null : fleet.volume(a.getVolume());
        if (volume == null) {
            return a;
        }
        return a.toBuilder()
                .setPlan(volume.text("plan"))
                .setInitiatorCount((int) volume.figure("hosts"))
                .build();
    }

    /**
     * Accesses may name these categories and plans from now on; the decisions know them already.
     */
    public void provision(SchedulerSettings given) {
        door.applySettings(given);
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
        door.stopAdmitting();
        clients.forEach(c -> c.announceShutdown("this initiator leaves"));
    }

    /**
     * Waits until the clients that were asked to have closed; what still comes from them is
     * rejected meanwhile. Guards what crossed our goodbye: closed before it is read, it would have
     * no answer, and the reset that follows may take answers with it that are still on their way.
     * Could hold up the end by {@code millis} where a client does not close.
     */
    public void awaitGoodbyes(long millis) throws InterruptedException {
        long until = world.monotonicMicros() + millis * 1000;
        while (owesGoodbyes() && world.monotonicMicros() < until) {
            world.sleep(1_000);
        }
    }

    /** Whether a client that was asked to close has not. */
    public boolean owesGoodbyes() {
        return clients.stream().anyMatch(c -> c.isOpen() && c.supportsGoingAway());
    }

    @Override
    public void onReady(PeerConnection peer) {
        LOG.debug("client {} is here", peer);
        clients.add(peer);
        if (leaving) { // it connected while the others were told
            peer.announceShutdown("this initiator leaves");
        }
    }

    @Override
    public void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case REQUEST -> access(peer, configured(frame.getRequest()));
            case CANCEL_REQUEST ->
                    loop.post(
                            new LoopMessage.RequestCancelled(
                                    peer, frame.getCancelRequest().getNumber()));
            default ->
                    throw new MalformedFrameException(
                            "a client sends accesses and leaves, not " + frame.getBodyCase());
        }
    }

    private void access(PeerConnection peer, Request a) {
        if (!door.validate(a)) {
            reject(peer, a, Reason.INVALID, Counter.INVALID, 0);
            return;
        }
        CaptureWriter to = capture;
        if (to != null) {
            to.record(world.monotonicMicros(), a);
        }
        RequestAdmission.Rejection refusal = door.admit(peer, a, world.monotonicMicros());
        if (refusal != null) {
            reject(peer, a, refusal.reason(), refusal.counter(), refusal.retryAfterMicros());
        }
    }

    private void reject(
            PeerConnection peer, Request a, Reason reason, Counter count, long retryIn) {
        counts.increment(count);
        peer.send(
                Frame.newBuilder()
                        .setResponse(
                                Response.newBuilder()
                                        .setNumber(a.getNumber())
                                        .setStatus(ResponseStatus.REJECTED)
                                        .setReason(reason)
                                        .setRetryAfterMicros(retryIn))
                        .build());
    }

    @Override
    public void onClosed(PeerConnection peer, String why) {
        LOG.debug("client {} is gone: {}", peer, why);
        clients.remove(peer);
        faults.closed("client", peer);
        loop.post(new LoopMessage.ClientDisconnected((Connection) peer));
    }
}
