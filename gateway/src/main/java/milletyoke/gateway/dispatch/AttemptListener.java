package milletyoke.gateway.dispatch;

import com.google.protobuf.ByteString;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.Load;

/**
 * Listener that is called, on the loop's thread, exactly once for the end of each attempt and
 * probe, and before that for the writing of an attempt.
 */
public interface AttemptListener {
    /**
     * Called when the last byte of an attempt was handed to the connection; not called if the
     * attempt ends before that is known.
     */
    default void onAttemptWritten(String requestId, int attemptNumber, long writtenAtMicros) {}

    /**
     * Called when an attempt ended.
     *
     * @param latencyMicros time since the attempt was ordered
     * @param load load that the target reported; null if none
     * @param payload of the reply; null if there was no reply
     */
    void onAttemptEnded(
            String requestId,
            int attemptNumber,
            Outcome outcome,
            long latencyMicros,
            Load load,
            ByteString payload);

    /**
     * Called when a probe ended.
     *
     * @param latencyMicros time since the probe was ordered
     * @param queueLength number of queued requests that the target reported; -1 if none
     */
    void onProbeEnded(String target, Outcome outcome, long latencyMicros, double queueLength);
}
