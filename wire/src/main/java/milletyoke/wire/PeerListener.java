package milletyoke.wire;

import milletyoke.wire.proto.Frame;

/**
 * What one end does with its connections. Calls for one peer come one after another, those for
 * several peers may come at once; none may block but to hold back that peer.
 */
public interface PeerListener {
    /** Both hellos were exchanged. */
    void onReady(PeerConnection peer);

    /**
     * @throws BadFrame where this end has no use for such a frame: the connection is closed
     */
    void onFrame(PeerConnection peer, Frame frame) throws MalformedFrameException;

    /** The peer takes nothing new and waits for this end to close once it has what it is owed. */
    default void onGoingAway(PeerConnection peer, String why) {}

    /** Called once for each peer that was ready or whose hello failed; nothing comes after it. */
    void onClosed(PeerConnection peer, String why);
}
