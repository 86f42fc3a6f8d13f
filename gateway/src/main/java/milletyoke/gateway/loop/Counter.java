package milletyoke.gateway.loop;

/**
 * The counters of an initiator, for logs and the console. Each name is written out in lower case.
 */
public enum Counter {
    /** Requests that the event loop started to track. */
    REQUESTS,

    /** Requests that a target answered. */
    ANSWERED,

    /** Requests that the scheduler rejected. */
    REJECTED,

    /** Requests that failed with unknown effect. */
    FAILED,

    /** Requests rejected for lack of capacity before they reached the scheduler. */
    REJECTED_CAPACITY,

    /** Requests rejected because of the lifecycle state. */
    REJECTED_STATE,

    /** Requests rejected as invalid. */
    INVALID,

    /** Requests whose deadline had passed before the event loop handled them. */
    EXPIRED,

    /** Requests cancelled by clients, and disconnects of clients that had requests pending. */
    CANCELLED_BY_CLIENT,

    /** Requests that failed because the scheduler decided no response in time. */
    OVERDUE,

    /** First attempts. */
    ATTEMPTS,

    /** Attempts after the first. */
    RETRIES,

    /** Attempts that the scheduler cancelled. */
    CANCELS,

    /** Probes sent. */
    PROBES,

    /** Connects started to targets. */
    CONNECTS,

    /** Connects to targets that failed or timed out. */
    CONNECTS_FAILED,

    /** Connections to targets that ended with attempts or probes in flight. */
    CONNECTIONS_LOST,

    /** Replies to attempts or probes that were no longer in flight. */
    LATE_REPLIES,

    /** Connections closed because the peer violated the protocol. */
    MALFORMED_PEERS,

    /** Idle client connections closed because a newer one needed their descriptor. */
    CLIENTS_EVICTED,

    /** Client connections on which no whole request was received in time. */
    CLIENTS_TIMED_OUT,

    /** Client connections that this process ended with a reset. */
    CLIENTS_RESET,

    /** Client connections on which input behind the last response was read and dropped. */
    CLIENTS_INPUT_DROPPED,

    /** Pipelined requests that were rejected because there was no memory to keep them. */
    PIPELINE_OVERFLOWS,

    /** Endpoint lists and updates received from discovery. */
    ENDPOINT_LISTS,

    /** Times that discovery became unreachable or had no endpoint list. */
    DISCOVERY_UNAVAILABLE,

    /** Turns of the event loop in which the scheduler ran. */
    TURNS
}
