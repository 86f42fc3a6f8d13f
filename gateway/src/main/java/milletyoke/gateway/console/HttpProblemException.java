package milletyoke.gateway.console;

/**
 * An error response with a problem body (RFC 9457). Title and detail are sent to the client and say
 * nothing of the daemon's internals.
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

    /** The same for what does not exist and for what the caller may not see. */
    static HttpProblemException notFound() {
        return new HttpProblemException(404, "Not found", "There is nothing here.");
    }

    static HttpProblemException badRequest(String detail) {
        return new HttpProblemException(400, "Bad request", detail);
    }

    static HttpProblemException unauthorized() {
        return new HttpProblemException(
                401, "Unauthorized", "A token is needed that is valid now.");
    }

    static HttpProblemException forbidden(String detail) {
        return new HttpProblemException(403, "Forbidden", detail);
    }

    static HttpProblemException methodNotAllowed(String allowed) {
        return new HttpProblemException(
                405, "Method not allowed", allowed + " is what can be done here.");
    }

    static HttpProblemException tooLarge(int maxBytes) {
        return new HttpProblemException(413, "Too large", maxBytes + " bytes are the most.");
    }

    static HttpProblemException tooManyRequests() {
        return new HttpProblemException(429, "Too many requests", "Come back in a second.");
    }

    static HttpProblemException internalError() {
        return new HttpProblemException(
                500, "Failed", "This could not be answered; the log says why.");
    }

    static HttpProblemException tooManyStreams(int maxStreams) {
        return new HttpProblemException(
                503, "Too many streams", "There are " + maxStreams + " at the most; poll instead.");
    }
}
