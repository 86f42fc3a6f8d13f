package milletyoke.gateway.loop;

/** What is counted, for logs and pages. */
public enum Counter {
    REQUESTS,
    ANSWERED,
    REJECTED,
    FAILED,
    REJECTED_CAPACITY,
    REJECTED_STATE,
    INVALID,
    EXPIRED,
    CANCELLED_BY_CLIENT,
    OVERDUE,
    ATTEMPTS,
    RETRIES,
    CANCELS,
    PROBES,
    CONNECTS,
    CONNECTS_FAILED,
    CONNECTIONS_LOST,
    LATE_REPLIES,
    MALFORMED_PEERS,
    ENDPOINT_LISTS,
    DISCOVERY_UNAVAILABLE,
    TURNS
}
