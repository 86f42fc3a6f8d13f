package milletyoke.gateway.loop;

import milletyoke.wire.Connection;
import milletyoke.wire.proto.Request;

/** One access that this initiator has taken: to whom it owes the answer, and what is out for it. */
final class TrackedRequest {
    final String id;
    final Connection client;
    final Request access;

    /** When it came in (microseconds). */
    final long cameAt;

    /** After this nothing can be of use to the client any more (microseconds). */
    final long lastCall;

    int relays;

    /** Where its latest relay went. */
    String target;

    boolean out;
    boolean answered;

    TrackedRequest(String id, Connection client, Request access, long cameAt, long lastCall) {
        this.id = id;
        this.client = client;
        this.access = access;
        this.cameAt = cameAt;
        this.lastCall = lastCall;
    }
}
