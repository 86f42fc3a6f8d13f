package milletyoke.gateway.loop;

import milletyoke.wire.proto.Attempt;

/** Executes the scheduler's actions. Called on the event loop's thread. */
interface ActionSink {
    /** Sends an attempt, which times out at {@code deadlineMicros} if it has no reply by then. */
    void sendAttempt(
            String target,
            String requestId,
            int attemptNumber,
            long deadlineMicros,
            Attempt.Builder attempt);

    /** Cancels an attempt and notifies its target. */
    void cancelAttempt(String requestId, int attemptNumber);

    /** Drops an attempt that has not been sent, because its request is closed. */
    void dropUnsent(String requestId, int attemptNumber);

    /** Sends a probe that asks a target for its load. */
    void sendProbe(String target);

    /** Schedules a wake-up of the scheduler; the delay starts at the start of this turn. */
    void scheduleWakeUp(long delayMicros);

    /** Watches discovery for changes of the endpoint list. */
    void watchEndpoints();
}
