package milletyoke.scheduler.api;

/** How an attempt or a probe ended. */
public enum Outcome {
    SUCCEEDED,
    /** The target executed the request and responded with an error. */
    ERROR,
    /** The target refused the request because of its load. */
    OVERLOADED,
    TIMED_OUT,
    NO_CONNECTION,
    /** The connection broke after the request was sent. */
    RESET,
    CANCELLED,
    /** The request provably never started to execute. */
    NOT_STARTED;

    /**
     * Returns whether no byte or not the last one of an attempt with this outcome was written,
     * unless it was reported as written.
     */
    public boolean wasNeverWritten() {
        return this == NO_CONNECTION || this == NOT_STARTED;
    }
}
