package milletyoke.scheduler.api;

/** What an initiator is to do. Times are microseconds. */
public sealed interface Action {
    /**
     * Send an attempt of a request.
     *
     * @param id of the request, as it came
     * @param deadlineMicros when the client gives up
     * @param target to send it to
     */
    record SendAttempt(String id, long deadlineMicros, String target) implements Action {}

    /**
     * Final answer: the request may be repeated safely.
     *
     * @param retryAfterMicros when to repeat it best, from now; 0 gives no advice
     */
    record Reject(String id, long retryAfterMicros) implements Action {}

    /** Final answer with the outcome unknown: the request may have been executed. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt; its target may execute it all the same. */
    record CancelAttempt(String id, int attemptNumber) implements Action {}

    /** Send a probe, which a target answers with its load. */
    record SendProbe(String target) implements Action {}

    /** Call the scheduler again after this time, whatever happens before. */
    record ScheduleWakeUp(long delayMicros) implements Action {}

    /** Ask service discovery to send every change from now on. */
    record WatchEndpoints() implements Action {}
}
