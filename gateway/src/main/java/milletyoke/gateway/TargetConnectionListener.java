package milletyoke.gateway;

import java.util.function.LongSupplier;
import milletyoke.gateway.ingress.ProtocolViolationLog;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.wire.MalformedFrameException;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.PeerListener;
import milletyoke.wire.proto.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Posts the events of one connection to a target to the event loop, from the connect to the close.
 * Runs on the threads that serve sockets.
 */
final class TargetConnectionListener implements PeerListener {
    private static final Logger LOG = LoggerFactory.getLogger(TargetConnectionListener.class);

    /** The network does not report which frames were unwritten when a connection ended. */
    private static final long NO_UNWRITTEN_FRAME = 0;

    private final String target;
    private final long connectNumber;
    private final EventLoop eventLoop;
    private final LongSupplier clock;
    private final ProtocolViolationLog violationLog;
    private volatile boolean isReady;

    TargetConnectionListener(
            String target,
            long connectNumber,
            EventLoop eventLoop,
            LongSupplier clock,
            ProtocolViolationLog violationLog) {
        this.target = target;
        this.connectNumber = connectNumber;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.violationLog = violationLog;
    }

    @Override
    public void onReady(PeerConnection peer) {
        isReady = true;
        eventLoop.post(new LoopMessage.ConnectSucceeded(target, connectNumber, peer));
    }

    @Override
    public void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException {
        switch (frame.getBodyCase()) {
            case ATTEMPT_REPLY ->
                    eventLoop.post(
                            new LoopMessage.AttemptReplied(
                                    peer, frame.getAttemptReply(), clock.getAsLong()));
            case PROBE_REPLY ->
                    eventLoop.post(
                            new LoopMessage.ProbeReplied(
                                    peer,
                                    frame.getProbeReply().getNumber(),
                                    frame.getProbeReply().getLoad(),
                                    clock.getAsLong()));
            default ->
                    throw new MalformedFrameException(
                            "a target sends replies, not " + frame.getBodyCase());
        }
    }

    @Override
    public void onClosed(PeerConnection peer, String reason) {
        LOG.debug("target connection closed target={} reason={}", target, reason);
        violationLog.closed("target " + target, peer);
        eventLoop.post(
                isReady
                        ? new LoopMessage.ConnectionLost(
                                target,
                                peer,
                                reason,
                                peer.hasProcessedNothing(),
                                NO_UNWRITTEN_FRAME)
                        : new LoopMessage.ConnectFailed(target, connectNumber, reason));
    }
}
