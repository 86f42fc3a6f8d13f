package milletyoke.gateway.loop;

import milletyoke.scheduler.api.Event;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Request;

/** One admitted request with its client and the state of its attempts. Owned by the event loop. */
final class TrackedRequest {
    /** The scheduler's value for a request that names no shard. */
    private static final int NO_SHARD = -1;

    final String id;
    final Connection client;
    final Request request;
    final long receivedAtMicros;

    /** When the request is closed if it has no response. */
    final long expiresAtMicros;

    int attemptCount;

    /** The target of the latest attempt; null before the first. */
    String target;

    boolean hasAttemptInFlight;

    /** Whether the request has its response, or needs none after a cancellation or disconnect. */
    boolean isResolved;

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

    /** Builds the event that submits the request to the scheduler. */
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
                request.getUnits(),
                request.getIdempotencyKey().isEmpty() ? null : request.getIdempotencyKey());
    }

    /** Records an attempt that is about to be sent; returns its number, counted from 0. */
    int beginAttempt(String attemptTarget) {
        hasAttemptInFlight = true;
        target = attemptTarget;
        return attemptCount++;
    }

    int latestAttemptNumber() {
        return attemptCount - 1;
    }

    /** Whether the request is resolved and no attempt is in flight. */
    boolean isComplete() {
        return isResolved && !hasAttemptInFlight;
    }

    /**
     * Builds the attempt that is sent to the target.
     *
     * @param idempotencyKeyPrefix is prepended to the request's id to form the key if the client
     *     gave none
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
