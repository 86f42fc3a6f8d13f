package milletyoke.gateway.loop;

import milletyoke.wire.Connection;
import milletyoke.wire.proto.Request;

/** One access that this initiator has taken: to whom it owes the answer, and what is out for it. */
final class TrackedRequest {
    final String id;
    final Connection client;
    final Request request;

    /** When it came in (microseconds). */
    final long receivedAtMicros;

    /** After this nothing can be of use to the client any more (microseconds). */
    final long expiresAtMicros;

    int attemptCount;

    /** Where its latest relay went. */
    String target;

    boolean hasAttemptInFlight;
    boolean isAnswered;

    TrackedRequest(String id, Connection client, Request access, long cameAt, long lastCall) {
        this.id = id;
        this.client = client;
        this.request = access;
        this.receivedAtMicros = cameAt;
        this.expiresAtMicros = lastCall;
    }
}
