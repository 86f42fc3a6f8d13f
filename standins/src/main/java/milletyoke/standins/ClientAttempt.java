package milletyoke.standins;

import com.google.protobuf.ByteString;
import milletyoke.wire.PeerConnection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Request;

/** One attempt of a client's request; builds the frames to send it. */
final class ClientAttempt {
    private static final int PAYLOAD_BYTES_PER_UNIT = 64;

    final ClientRequest request;

    /** The number of earlier attempts of the request. */
    final int retryCount;

    /** Identifies the attempt on its connection. */
    long number;

    /** The connection that the attempt is sent on; null if none was open. */
    PeerConnection connection;

    ClientAttempt(ClientRequest request, int retryCount) {
        this.request = request;
        this.retryCount = retryCount;
    }

    ClientAttempt nextRetry() {
        return new ClientAttempt(request, retryCount + 1);
    }

    boolean isCancelledEarly() {
        return request.isCancelledEarly() && retryCount == 0;
    }

    /** Builds the frame for an initiator. */
    Frame toRequestFrame(long timeLeftMicros) {
        Request.Builder frame =
                Request.newBuilder()
                        .setNumber(number)
                        .setExtent(request.extent())
                        .setVolume(request.volume().name())
                        .setPlan(request.volume().plan())
                        .setRequestClass(request.requestClass().name())
                        .setInitiatorCount(request.volume().initiators().size())
                        .setUnits(request.units())
                        .setTimeLeftMicros(timeLeftMicros)
                        .setWrite(request.requestClass().isWrite())
                        .setIdempotencyKey(request.idempotencyKey());
        if (request.shard() >= 0) {
            frame.setShard(request.shard());
        }
        if (request.requestClass().isWrite()) {
            frame.setPayload(payload());
        }
        return Frame.newBuilder().setRequest(frame).build();
    }

    /** Builds the frame that an initiator would send to a target. */
    Frame toAttemptFrame(long timeLeftMicros) {
        Attempt.Builder frame =
                Attempt.newBuilder()
                        .setNumber(number)
                        .setRequestId("s-" + number)
                        .setShard(request.shard())
                        .setExtent(request.extent())
                        .setVolume(request.volume().name())
                        .setRequestClass(request.requestClass().name())
                        .setUnits(request.units())
                        .setTimeLeftMicros(timeLeftMicros)
                        .setWrite(request.requestClass().isWrite())
                        .setIdempotencyKey(request.idempotencyKey())
                        .setPayload(
                                request.requestClass().isWrite() ? payload() : ByteString.EMPTY);
        return Frame.newBuilder().setAttempt(frame).build();
    }

    private ByteString payload() {
        return ByteString.copyFrom(new byte[(int) (PAYLOAD_BYTES_PER_UNIT * request.units())]);
    }
}
