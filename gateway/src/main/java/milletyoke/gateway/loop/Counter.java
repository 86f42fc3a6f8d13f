package milletyoke.gateway.loop;

/** What is counted, for logs and pages. */
public enum Counter {
    ACCESSES,
    ANSWERED,
    REJECTED,
    BROKEN_OFF,
    NO_PLACE,
    REJECTED_CONDITION,
    UNACCEPTABLE,
    EXPIRED,
    CLIENTS_LEFT,
    OVERDUE,
    RELAYS,
    RELAYS_FURTHER,
    CANCELS,
    PROBES,
    CONNECTS,
    CONNECTS_FAILED,
    CONNECTIONS_LOST,
    LATE_REPLIES,
    MALFORMED_PEERS,
    LISTS,
    LISTS_UNAVAILABLE,
    TURNS
}
