package milletyoke.scheduler;

import java.util.TreeSet;

/** The accesses of one key in the order they were taken, and until when the key rests. */
final class KeySequence {
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.BY_ADMISSION);
    final String key;
    long quietUntil;

    /** When who forgets looks at it next; 0 where it does not. */
    long evictionCheckAt;

    KeySequence(String extent) {
        this.key = extent;
    }
}
