package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/**
 * Receives the events of one participant's connections. Calls for the same peer are sequential, on
 * an I/O thread; calls for different peers may be concurrent. A call that blocks delays its peer
 * and all others that share the I/O thread.
 */
public interface PeerListener {
    /** Called when both hellos were exchanged. */
    void onReady(PeerConnection peer);

    /**
     * Called for each received frame that the connection does not handle itself.
     *
     * @throws MalformedFrameException if this end does not accept such a frame; the connection is
     *     then closed
     */
    void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException;

    /**
     * Called when the peer stops accepting new requests. The peer waits for this end to close the
     * connection after all responses were received.
     */
    default void onGoingAway(PeerConnection peer, String reason) {}

    /**
     * Called once for each peer that was ready or whose hello failed, as the last call for that
     * peer.
     */
    void onClosed(PeerConnection peer, String reason);
}
