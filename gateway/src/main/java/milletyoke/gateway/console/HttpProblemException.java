package milletyoke.gateway.console;

/**
 * An answer that is not what was asked for, as RFC 9457 has it; says nothing of the daemon's
 * insides.
 */
final class HttpProblemException extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;
    final String title;

    HttpProblemException(int status, String title, String detail) {
        super(detail);
        this.status = status;
        this.title = title;
    }

    /**
     * The same for what is not there and for what is not the asker's, so that nobody learns which.
     */
    static HttpProblemException notFound() {
        return new HttpProblemException(404, "Not found", "There is nothing here.");
    }

    static HttpProblemException badRequest(String detail) {
        return new HttpProblemException(400, "Bad request", detail);
    }

    static HttpProblemException who() {
        return new HttpProblemException(
                401, "Unauthorized", "A token is needed that is valid now.");
    }

    static HttpProblemException mayNot() {
        return new HttpProblemException(403, "Forbidden", "This token may look and not act.");
    }
}
