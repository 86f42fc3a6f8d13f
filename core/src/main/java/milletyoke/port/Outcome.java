package milletyoke.port;

/** How a relay or a probe ended. */
public enum Outcome {
    SUCCEEDED,
    ERROR,
    FULL,
    TIMED_OUT,
    NO_CONNECTION,
    RESET,
    CANCELLED,
    MOOT
}
