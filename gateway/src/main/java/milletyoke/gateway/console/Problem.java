package milletyoke.gateway.console;

/**
 * An answer that is not what was asked for, as RFC 9457 has it; says nothing of the daemon's
 * insides.
 */
final class Problem extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;
    final String title;

    Problem(int status, String title, String detail) {
        super(detail);
        this.status = status;
        this.title = title;
    }

    /**
     * The same for what is not there and for what is not the asker's, so that nobody learns which.
     */
    static Problem notFound() {
        return new Problem(404, "Not found", "There is nothing here.");
    }

    static Problem badRequest(String detail) {
        return new Problem(400, "Bad request", detail);
    }

    static Problem who() {
        return new Problem(401, "Unauthorized", "A token is needed that is valid now.");
    }

    static Problem mayNot() {
        return new Problem(403, "Forbidden", "This token may look and not act.");
    }
}
