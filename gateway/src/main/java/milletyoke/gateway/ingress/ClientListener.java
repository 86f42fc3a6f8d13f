package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import milletyoke.config.Fleet;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.gateway.loop.ResponseFrames;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the connections of clients. Rejects invalid requests and requests that exceed the capacity
 * at once; all other requests are passed to the event loop. Runs on the threads that serve sockets.
 */
public final class ClientListener implements PeerListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long CLOSE_POLL_MICROS = 1_000;

    /** Reason sent to clients that are asked to close. */
    private static final String SHUTDOWN_REASON = "this initiator leaves";

    private final ExecutionEnvironment execution;
    private final EventLoop loop;
    private final Counters counters;
    private final RequestAdmission admission;
    private final ProtocolViolationLog violationLog;
    private final Set<PeerConnection> clients = ConcurrentHashMap.newKeySet();
    private volatile boolean isShuttingDown;

    /** Null if volumes are not configured. */
    private volatile Fleet fleet;

    /** Null if no capture is running. */
    private volatile CaptureWriter capture;

    /** Creates a listener without clients. */
    public ClientListener(
            InitiatorConfig config,
            ExecutionEnvironment execution,
            EventLoop loop,
            Counters counters,
            ConcurrentAdmission concurrentAdmission,
            ProtocolViolationLog violationLog) {
        this.violationLog = violationLog;
        this.execution = execution;
        this.loop = loop;
        this.counters = counters;
        admission = new RequestAdmission(config, loop, concurrentAdmission);
    }

    /**
     * Sets the configuration. It determines the plan and number of initiators of each configured
     * volume, overriding the values that the client sends.
     */
    public void configure(Fleet newFleet) {
        fleet = newFleet;
    }

    private Request withConfiguredVolume(Request request) {
        Fleet.Block volume = fleet == null ? null : fleet.volume(request.getVolume());
        if (volume == null) {
            return request;
        }
        return request.toBuilder()
                .setPlan(volume.text("plan"))
                .setInitiatorCount((int) volume.number("hosts"))
                .build();
    }

    /**
     * Sets the request classes and plans that requests may name; the scheduler must have them
     * already.
     */
    public void applySettings(SchedulerSettings settings) {
        admission.applySettings(settings);
    }

    /** Starts to record every valid request, admitted or not; null stops the capture. */
    public void setCapture(CaptureWriter writer) {
        capture = writer;
    }

    /** Stops admitting requests, and asks every client to close once it has its responses. */
    public void beginShutdown() {
        isShuttingDown = true;
        admission.stopAdmitting();
        clients.forEach(client -> client.announceShutdown(SHUTDOWN_REASON));
    }

    /**
     * Waits until all clients that were asked to close have closed, for {@code millis} at most.
     * Requests that arrive meanwhile are rejected. If this side closed a connection before it has
     * read the last request, that request would get no response, and the resulting reset could
     * destroy responses in transit.
     */
    public void awaitClientsClosed(long millis) throws InterruptedException {
        long untilMicros = execution.monotonicMicros() + millis * MICROS_PER_MILLI;
        while (hasClientsToClose() && execution.monotonicMicros() < untilMicros) {
            execution.sleep(CLOSE_POLL_MICROS);
        }
    }

    /** Whether a client that supports the announced shutdown is still connected. */
    public boolean hasClientsToClose() {
        return clients.stream().anyMatch(client -> client.isOpen() && client.supportsGoingAway());
    }

    @Override
    public void onReady(PeerConnection peer) {
        LOG.debug("client connected peer={}", peer);
        clients.add(peer);
        if (isShuttingDown) { // the client connected after beginShutdown announced the shutdown
            peer.announceShutdown(SHUTDOWN_REASON);
        }
    }

    @Override
    public void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case REQUEST -> handleRequest(peer, withConfiguredVolume(frame.getRequest()));
            case CANCEL_REQUEST ->
                    loop.post(
                            new LoopMessage.RequestCancelled(
                                    peer, frame.getCancelRequest().getNumber()));
            default ->
                    throw new MalformedFrameException(
                            "a client sends accesses and leaves, not " + frame.getBodyCase());
        }
    }

    private void handleRequest(PeerConnection peer, Request request) {
        if (!admission.validate(request)) {
            reject(peer, request, Reason.INVALID, Counter.INVALID, 0);
            return;
        }
        CaptureWriter writer = capture;
        if (writer != null) {
            writer.record(execution.monotonicMicros(), request);
        }
        RequestAdmission.Rejection rejection =
                admission.admit(peer, request, execution.monotonicMicros());
        if (rejection != null) {
            reject(
                    peer,
                    request,
                    rejection.reason(),
                    rejection.counter(),
                    rejection.retryAfterMicros());
        }
    }

    private void reject(
            PeerConnection peer,
            Request request,
            Reason reason,
            Counter counter,
            long retryAfterMicros) {
        counters.increment(counter);
        peer.send(ResponseFrames.rejected(request.getNumber(), reason, retryAfterMicros));
    }

    @Override
    public void onClosed(PeerConnection peer, String reason) {
        LOG.debug("client disconnected peer={} reason={}", peer, reason);
        clients.remove(peer);
        violationLog.closed("client", peer);
        loop.post(new LoopMessage.ClientDisconnected((Connection) peer));
    }
}
