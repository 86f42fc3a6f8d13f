package milletyoke.gateway.link;

import com.google.protobuf.ByteString;
import milletyoke.port.Outcome;
import milletyoke.wire.proto.Load;

/** Who learns how relays and probes ended. Each one that was ordered is told of exactly once. */
public interface Outcomes {
    /**
     * @param lag microseconds since the relay was ordered
     */
    void relayEnded(
            String id, int attempt, Outcome outcome, long lag, Load load, ByteString payload);

    /**
     * @param waiting accesses said to wait at the target, -1 where it does not tell
     */
    void probeEnded(String target, Outcome outcome, long lag, double waiting);
}
