package milletyoke.wire;

import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;

/**
 * Observes every frame that one participant sends or receives. Called on the thread that sends or
 * receives the frame.
 */
@FunctionalInterface
public interface FrameObserver {
    /** Ignores all frames. */
    FrameObserver NONE = (peer, direction, frame) -> {};

    /**
     * Called when a frame was sent or received, or the connection opened or closed.
     *
     * @param frame null if the connection opened or closed
     */
    void onFrame(PeerConnection peer, Direction direction, Frame frame);
}
