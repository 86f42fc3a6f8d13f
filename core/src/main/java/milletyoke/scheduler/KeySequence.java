package milletyoke.scheduler;

import java.util.TreeSet;

/** The accesses of one key in the order they were taken, and until when the key rests. */
final class KeySequence {
    final TreeSet<PendingRequest> order = new TreeSet<>(PendingRequest.BY_TAKING);
    final String extent;
    long restUntil;

    /** When who forgets looks at it next; 0 where it does not. */
    long lookAt;

    KeySequence(String extent) {
        this.extent = extent;
    }
}
