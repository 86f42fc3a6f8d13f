package milletyoke.gateway.loop;

import milletyoke.wire.proto.Attempt;

/** Carries out what the scheduler decided; called on the loop's thread. */
interface ActionSink {
    /** Sends an attempt; {@code deadlineMicros} is when waiting for its reply ends. */
    void sendAttempt(
            String target,
            String requestId,
            int attemptNumber,
            long deadlineMicros,
            Attempt.Builder attempt);

    /** Stops waiting for an attempt, and tells its target so. */
    void cancelAttempt(String requestId, int attemptNumber);

    /** Drops an attempt that has not been sent, for its request is over. */
    void dropUnsent(String requestId, int attemptNumber);

    /** Sends a probe for a target's load. */
    void sendProbe(String target);

    /** Wakes the scheduler up after a delay from the start of this turn. */
    void scheduleWakeUp(long delayMicros);

    /** Asks discovery for changes of the endpoint list. */
    void watchEndpoints();
}
