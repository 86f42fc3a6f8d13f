package milletyoke.http;

import java.io.IOException;

/**
 * What came is no message that is taken here; the connection is of no further use, for its framing
 * is lost.
 */
public final class HttpParseException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * @param status what a server answers (RFC 9110 section 15.5)
     */
    public HttpParseException(int status, String what) {
        super(what, null);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
