package milletyoke.http;

import java.io.IOException;

/**
 * What was received is not a valid message, or not one that is accepted here. The message
 * boundaries are lost, so the connection must not be read any further.
 */
public final class HttpParseException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status with which a server answers (RFC 9110 section 15.5)
     * @param problem what is wrong with the message
     */
    public HttpParseException(int status, String problem) {
        super(problem, null);
        this.status = status;
    }

    /** The status with which a server answers. */
    public int status() {
        return status;
    }
}
