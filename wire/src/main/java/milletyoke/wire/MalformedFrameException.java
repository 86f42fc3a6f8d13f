package milletyoke.wire;

import java.io.IOException;

/**
 * What a peer sent is no frame of the protocol; its connection is closed and nothing else is
 * touched.
 */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedFrameException(String what) {
        super(what);
    }
}
