package milletyoke.gateway.loop;

/** What an initiator counts, for logs and the console. */
public enum Counter {
    /** Requests that reached the loop and are tracked. */
    REQUESTS,

    /** Requests that a target answered. */
    ANSWERED,

    /** Requests that the scheduler rejected. */
    REJECTED,

    /** Requests that were failed, their effect unknown. */
    FAILED,

    /** Requests rejected for lack of capacity, before the scheduler. */
    REJECTED_CAPACITY,

    /** Requests rejected because of the lifecycle state. */
    REJECTED_STATE,

    /** Requests that are not valid. */
    INVALID,

    /** Requests whose deadline had passed when the loop got to them. */
    EXPIRED,

    /** Cancellations by clients, and disconnects of clients with requests. */
    CANCELLED_BY_CLIENT,

    /** Requests for which the scheduler decided no response in time. */
    OVERDUE,

    /** First attempts. */
    ATTEMPTS,

    /** Attempts after the first. */
    RETRIES,

    /** Attempts that the scheduler cancelled. */
    CANCELS,

    /** Probes for load. */
    PROBES,

    /** Tries to connect to targets. */
    CONNECTS,

    /** Tries to connect that failed or timed out. */
    CONNECTS_FAILED,

    /** Connections to targets that ended with something in flight. */
    CONNECTIONS_LOST,

    /** Replies to what was no longer in flight. */
    LATE_REPLIES,

    /** Connections closed because the peer broke the protocol. */
    MALFORMED_PEERS,

    /** Endpoint lists and updates from discovery. */
    ENDPOINT_LISTS,

    /** Times that discovery was lost or had no list. */
    DISCOVERY_UNAVAILABLE,

    /** Turns in which the scheduler decided. */
    TURNS
}
