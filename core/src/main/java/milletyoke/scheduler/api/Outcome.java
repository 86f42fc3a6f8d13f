package milletyoke.scheduler.api;

/** How an attempt or a probe ended. */
public enum Outcome {
    SUCCEEDED,
    /** The target executed it with an error. */
    ERROR,
    /** The target refused it for its load. */
    OVERLOADED,
    TIMED_OUT,
    NO_CONNECTION,
    /** The connection broke after sending. */
    RESET,
    CANCELLED,
    /** It provably never started to execute. */
    NOT_STARTED
}
