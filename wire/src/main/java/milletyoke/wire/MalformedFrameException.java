package milletyoke.wire;

import java.io.IOException;

/**
 * A peer sent something that the protocol does not allow. Its connection is closed; nothing else is
 * affected.
 */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong with the frame; also sent to the peer as the reason of the close
     */
    public MalformedFrameException(String message) {
        super(message);
    }
}
