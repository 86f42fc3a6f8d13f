package milletyoke.scheduler;

import java.util.TreeSet;

/** The requests of one key in order of admission, and the end of its quiet period. */
final class KeySequence {
    final TreeSet<PendingRequest> requests = new TreeSet<>(PendingRequest.BY_ADMISSION);
    final String key;
    long quietUntil;

    /** When eviction checks the key next, 0 for never. */
    long evictionCheckAt;

    KeySequence(String key) {
        this.key = key;
    }
}
