package milletyoke.scheduler;

import java.util.TreeSet;

/** The requests of one key in the order of admission, and until when the key is quiet. */
final class KeySequence {
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.BY_ADMISSION);
    final String key;
    long quietUntil;

    /** When eviction checks it next, 0 where it does not. */
    long evictionCheckAt;

    KeySequence(String extent) {
        this.key = extent;
    }
}
