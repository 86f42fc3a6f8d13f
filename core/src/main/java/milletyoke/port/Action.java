package milletyoke.port;

/** What an initiator is to do. */
public sealed interface Action {
    record Relay(String id, long giveUpAt, String target) implements Action {}

    /** Final answer: trying again is harmless, best after {@code retryIn}; 0 gives no advice. */
    record Reject(String id, long retryIn) implements Action {}

    /** Final answer that promises nothing. */
    record BreakOff(String id) implements Action {}

    /** Stop waiting for one relay; whether its target stops is another matter. */
    record Cancel(String id, int relay) implements Action {}

    record Probe(String target) implements Action {}

    record Wake(long in) implements Action {}

    /** Ask discovery to tell every change from now on. */
    record FollowList() implements Action {}
}
