package milletyoke.gateway.loop;

import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;

/** Builds responses to requests that never reach the scheduler. */
public final class ResponseFrames {
    private ResponseFrames() {}

    /**
     * Builds a rejection.
     *
     * @param requestNumber the number that the client gave the request
     * @param retryAfterMicros suggested delay before a retry; 0 if none
     */
    public static Frame rejected(long requestNumber, Reason reason, long retryAfterMicros) {
        return Frame.newBuilder()
                .setResponse(
                        Response.newBuilder()
                                .setNumber(requestNumber)
                                .setStatus(ResponseStatus.REJECTED)
                                .setReason(reason)
                                .setRetryAfterMicros(retryAfterMicros))
                .build();
    }
}
