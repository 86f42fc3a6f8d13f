package milletyoke.cli;

/** One request of a client in a restart, as its client saw it. Used on the client's thread only. */
final class RestartRequest {
    /** How a request ended for its client. */
    enum Ending {
        /** Nothing was received yet. */
        NONE,
        /** A whole response was received. */
        ANSWERED,
        /** The client closed its connection first. */
        LEFT,
        /** The connection ended before the request was sent whole; the client sends it again. */
        CROSSED,
        /** The connection was reset, as happens if the process never read the request. */
        RESET,
        /** The connection ended in order without a response, so that the request may be read. */
        CLOSED
    }

    final String transactionId;
    final String requestClass;
    final long remainingMillis;

    /** When the last byte was sent. */
    long sentAtNanos;

    Ending ending = Ending.NONE;
    int status;

    /** When the request ended for its client. */
    long endedAtNanos;

    RestartRequest(
            String transactionId, String requestClass, long remainingMillis, long sentAtNanos) {
        this.transactionId = transactionId;
        this.requestClass = requestClass;
        this.remainingMillis = remainingMillis;
        this.sentAtNanos = sentAtNanos;
    }

    void end(Ending how) {
        ending = how;
        endedAtNanos = System.nanoTime();
    }

    /** Whether the client still waits for a response, or waited until the connection ended. */
    boolean isUnanswered() {
        return ending != Ending.ANSWERED && ending != Ending.LEFT && ending != Ending.CROSSED;
    }
}
