package milletyoke.scheduler.api;

/** What an initiator is to do. */
public sealed interface Action {
    record SendAttempt(String id, long deadlineMicros, String target) implements Action {}

    /**
     * Final answer: trying again is harmless, best after {@code retryAfterMicros}; 0 gives no
     * advice.
     */
    record Reject(String id, long retryAfterMicros) implements Action {}

    /** Final answer that promises nothing. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one relay; whether its target stops is another matter. */
    record CancelAttempt(String id, int attemptNumber) implements Action {}

    record SendProbe(String target) implements Action {}

    record ScheduleWakeUp(long delayMicros) implements Action {}

    /** Ask discovery to tell every change from now on. */
    record WatchEndpoints() implements Action {}
}
