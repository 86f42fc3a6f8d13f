package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/**
 * Receives the events of the connections of one end. Calls for one peer come one after another on
 * an I/O thread; those for several peers may come at the same time. A call that blocks holds up
 * that peer, and others that share its I/O thread.
 */
public interface PeerListener {
    /** Both hellos were exchanged. */
    void onReady(PeerConnection peer);

    /**
     * A frame other than those that the connection itself handles was received.
     *
     * @throws MalformedFrameException where this end does not accept such a frame; the connection
     *     is then closed
     */
    void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException;

    /**
     * The peer accepts no new requests and waits for this end to close the connection once all
     * responses were received.
     */
    default void onGoingAway(PeerConnection peer, String reason) {}

    /**
     * Called once for each peer that was ready or whose hello failed; no call for that peer
     * follows.
     */
    void onClosed(PeerConnection peer, String reason);
}
