package milletyoke.gateway.dispatch;

import com.google.protobuf.ByteString;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.Load;

/** Is notified once, on the loop's thread, of how each attempt and each probe ended. */
public interface AttemptListener {
    /**
     * An attempt ended.
     *
     * @param latencyMicros since the attempt was ordered
     * @param load what the target reported of its load; null where it did not
     * @param payload of the reply; null where there was none
     */
    void onAttemptEnded(
            String requestId,
            int attemptNumber,
            Outcome outcome,
            long latencyMicros,
            Load load,
            ByteString payload);

    /**
     * A probe ended.
     *
     * @param latencyMicros since the probe was ordered
     * @param queueLength requests that the target reports as queued, -1 where it does not
     */
    void onProbeEnded(String target, Outcome outcome, long latencyMicros, double queueLength);
}
