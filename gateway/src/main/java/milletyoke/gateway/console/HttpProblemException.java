package milletyoke.gateway.console;

/**
 * An error response with a problem body (RFC 9457). Title and detail are sent to the client and
 * must not disclose internals of the daemon.
 */
final class HttpProblemException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String title;

    HttpProblemException(int status, String title, String detail) {
        super(detail);
        this.status = status;
        this.title = title;
    }

    int status() {
        return status;
    }

    String title() {
        return title;
    }

    /** Returns the same problem for what does not exist and for what the caller may not see. */
    static HttpProblemException notFound() {
        return new HttpProblemException(
                404, "Not found", "The resource does not exist or is not visible with this token.");
    }

    static HttpProblemException badRequest(String detail) {
        return new HttpProblemException(400, "Bad request", detail);
    }

    static HttpProblemException unauthorized() {
        return new HttpProblemException(401, "Unauthorized", "A valid access token is required.");
    }

    static HttpProblemException forbidden(String detail) {
        return new HttpProblemException(403, "Forbidden", detail);
    }

    static HttpProblemException methodNotAllowed(String allowed) {
        return new HttpProblemException(
                405, "Method not allowed", allowed + " is the only method allowed here.");
    }

    static HttpProblemException tooLarge(int maxBytes) {
        return new HttpProblemException(
                413, "Too large", maxBytes + " bytes is the maximum size of a request body.");
    }

    static HttpProblemException tooManyRequests() {
        return new HttpProblemException(
                429, "Too many requests", "The rate limit is exceeded; retry in one second.");
    }

    static HttpProblemException internalError() {
        return new HttpProblemException(
                500,
                "Failed",
                "The request could not be processed; the daemon's log has the cause.");
    }

    static HttpProblemException tooManyStreams(int maxStreams) {
        return new HttpProblemException(
                503,
                "Too many streams",
                "At most " + maxStreams + " streams may be open; poll instead.");
    }
}
