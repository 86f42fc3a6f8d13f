package milletyoke.standins;

import com.google.protobuf.ByteString;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Load;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.ProbeReply;

/** Builds the reply frames of a target. */
final class TargetReplies {
    private static final int PAYLOAD_BYTES_PER_UNIT = 64;
    private static final int MAX_PAYLOAD_BYTES = 4096;

    private TargetReplies() {}

    static Load load(int queueLength, double busyFraction) {
        return Load.newBuilder().setQueueLength(queueLength).setBusy(busyFraction).build();
    }

    static Frame attemptReply(Attempt attempt, Outcome outcome, Load load) {
        AttemptReply.Builder reply =
                AttemptReply.newBuilder()
                        .setNumber(attempt.getNumber())
                        .setOutcome(outcome)
                        .setLoad(load);
        if (outcome == Outcome.SUCCEEDED && !attempt.getWrite()) {
            double bytes = Math.min(MAX_PAYLOAD_BYTES, PAYLOAD_BYTES_PER_UNIT * attempt.getUnits());
            reply.setPayload(ByteString.copyFrom(new byte[(int) bytes]));
        }
        return Frame.newBuilder().setAttemptReply(reply).build();
    }

    static Frame probeReply(long number, Load load) {
        ProbeReply.Builder reply = ProbeReply.newBuilder().setNumber(number).setLoad(load);
        return Frame.newBuilder().setProbeReply(reply).build();
    }
}
