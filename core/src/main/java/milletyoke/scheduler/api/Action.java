package milletyoke.scheduler.api;

/** An action that an initiator has to carry out. Times are microseconds. */
public sealed interface Action {
    /**
     * Send an attempt of a request.
     *
     * @param id of the request, as received
     * @param deadlineMicros when the client gives up
     * @param target to send the attempt to
     */
    record SendAttempt(String id, long deadlineMicros, String target) implements Action {}

    /**
     * Give the client the final response that it may safely retry the request.
     *
     * @param retryAfterMicros recommended delay before the retry; 0 for no recommendation
     */
    record Reject(String id, long retryAfterMicros) implements Action {}

    /**
     * Give the client the final response that the outcome is unknown: the request may have
     * executed.
     */
    record Fail(String id) implements Action {}

    /** Stop waiting for an attempt; its target may execute it nevertheless. */
    record CancelAttempt(String id, int attemptNumber) implements Action {}

    /** Send a probe, to which a target responds with its load. */
    record SendProbe(String target) implements Action {}

    /** Call the scheduler again after this time, whether or not there are events before. */
    record ScheduleWakeUp(long delayMicros) implements Action {}

    /** Ask service discovery to send every change from now on. */
    record WatchEndpoints() implements Action {}
}
