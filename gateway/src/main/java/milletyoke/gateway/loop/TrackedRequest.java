package milletyoke.gateway.loop;

import milletyoke.scheduler.api.Event;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Request;

/** One admitted request: its client, and the state of its attempts. Owned by the event loop. */
final class TrackedRequest {
    /** The scheduler's value for a request that names no shard. */
    private static final int NO_SHARD = -1;

    final String id;
    final Connection client;
    final Request request;
    final long receivedAtMicros;

    /** After this nothing is of use to the client any more. */
    final long expiresAtMicros;

    int attemptCount;

    /** Where the latest attempt went. */
    String target;

    boolean hasAttemptInFlight;
    boolean isAnswered;

    TrackedRequest(
            String id,
            Connection client,
            Request request,
            long receivedAtMicros,
            long expiresAtMicros) {
        this.id = id;
        this.client = client;
        this.request = request;
        this.receivedAtMicros = receivedAtMicros;
        this.expiresAtMicros = expiresAtMicros;
    }

    /** The event that makes the request known to the scheduler. */
    Event receivedEvent(long timeLeftMicros) {
        return new Event.RequestReceived(
                id,
                request.hasShard() ? request.getShard() : NO_SHARD,
                request.getExtent().isEmpty() ? null : request.getExtent(),
                request.getVolume(),
                timeLeftMicros,
                request.getPlan(),
                request.getRequestClass(),
                Math.max(1, request.getInitiatorCount()),
                request.getUnits());
    }

    /** Notes an attempt that is about to be sent; returns its number, from 0. */
    int beginAttempt(String attemptTarget) {
        hasAttemptInFlight = true;
        target = attemptTarget;
        return attemptCount++;
    }

    int latestAttemptNumber() {
        return attemptCount - 1;
    }

    /** Whether it has its response, or needs none, and no attempt is in flight. */
    boolean isComplete() {
        return isAnswered && !hasAttemptInFlight;
    }

    /**
     * Builds what is sent to the target.
     *
     * @param idempotencyKeyPrefix makes a key of the request's id where the client gave none
     */
    Attempt.Builder attemptFrame(
            int attemptNumber, long timeLeftMicros, String idempotencyKeyPrefix) {
        String clientKey = request.getIdempotencyKey();
        Attempt.Builder attempt =
                Attempt.newBuilder()
                        .setRequestId(id)
                        .setAttemptNumber(attemptNumber)
                        .setExtent(request.getExtent())
                        .setVolume(request.getVolume())
                        .setRequestClass(request.getRequestClass())
                        .setUnits(request.getUnits())
                        .setTimeLeftMicros(timeLeftMicros)
                        .setWrite(request.getWrite())
                        .setPayload(request.getPayload())
                        .setIdempotencyKey(
                                clientKey.isEmpty() ? idempotencyKeyPrefix + id : clientKey);
        if (request.hasShard()) {
            attempt.setShard(request.getShard());
        }
        return attempt;
    }
}
