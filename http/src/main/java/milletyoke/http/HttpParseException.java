package milletyoke.http;

import java.io.IOException;

/**
 * Thrown when received bytes are not a valid message, or not a message that this end accepts. The
 * message boundaries are unknown afterwards, so the connection must not be read any further.
 */
public final class HttpParseException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the status code of a server's response to the message (RFC 9110 section 15.5)
     * @param problem a description of the error in the message
     */
    public HttpParseException(int status, String problem) {
        super(problem, null);
        this.status = status;
    }

    /** Returns the status code of a server's response to the message. */
    public int status() {
        return status;
    }
}
