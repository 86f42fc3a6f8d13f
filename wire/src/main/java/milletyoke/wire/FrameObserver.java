package milletyoke.wire;

import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;

/**
 * Observes every frame of one end as it is handed to or received from its connection. Called on
 * whichever thread does so.
 */
@FunctionalInterface
public interface FrameObserver {
    /** Observes nothing. */
    FrameObserver NONE = (peer, direction, frame) -> {};

    /**
     * A frame was sent or received, or the connection opened or closed.
     *
     * @param frame null where the connection opened or closed
     */
    void onFrame(PeerConnection peer, Direction direction, Frame frame);
}
