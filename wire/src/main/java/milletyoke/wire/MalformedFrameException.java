package milletyoke.wire;

import java.io.IOException;

/**
 * Thrown when a peer violates the protocol. The connection to that peer is closed; other
 * connections are not affected.
 */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message a description of the violation; also sent to the peer as the close reason
     */
    public MalformedFrameException(String message) {
        super(message);
    }
}
