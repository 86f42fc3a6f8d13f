package milletyoke.wire;

import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;

/**
 * Sees every frame of one end as it is handed to or taken from its connection; called on whichever
 * thread does so.
 */
@FunctionalInterface
public interface FrameObserver {
    FrameObserver NONE = (peer, direction, frame) -> {};

    /**
     * @param frame null where the direction tells that the connection opened or closed
     */
    void onFrame(PeerConnection peer, Direction direction, Frame frame);
}
