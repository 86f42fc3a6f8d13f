package milletyoke.gateway.loop;

import milletyoke.wire.Line;
import milletyoke.wire.proto.Access;

/** One access that this initiator has taken: to whom it owes the answer, and what is out for it. */
final class Entry {
    final String id;
    final Line client;
    final Access access;

    /** When it came in (microseconds). */
    final long cameAt;

    /** After this nothing can be of use to the client any more (microseconds). */
    final long lastCall;

    int relays;

    /** Where its latest relay went. */
    String target;

    boolean out;
    boolean answered;

    Entry(String id, Line client, Access access, long cameAt, long lastCall) {
        this.id = id;
        this.client = client;
        this.access = access;
        this.cameAt = cameAt;
        this.lastCall = lastCall;
    }
}
