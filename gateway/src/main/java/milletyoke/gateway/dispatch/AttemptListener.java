package milletyoke.gateway.dispatch;

import com.google.protobuf.ByteString;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.Load;

/** Who learns how relays and probes ended. Each one that was ordered is told of exactly once. */
public interface AttemptListener {
    /**
     * @param lag microseconds since the relay was ordered
     */
    void onAttemptEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload);

    /**
     * @param waiting accesses said to wait at the target, -1 where it does not tell
     */
    void onProbeEnded(String target, Outcome outcome, long lag, double waiting);
}
