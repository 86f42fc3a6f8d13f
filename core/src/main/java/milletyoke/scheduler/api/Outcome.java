package milletyoke.scheduler.api;

/** How a relay or a probe ended. */
public enum Outcome {
    SUCCEEDED,
    ERROR,
    OVERLOADED,
    TIMED_OUT,
    NO_CONNECTION,
    RESET,
    CANCELLED,
    NOT_STARTED
}
