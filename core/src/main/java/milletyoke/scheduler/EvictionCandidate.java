package milletyoke.scheduler;

/** What is kept for when its owner returns. */
abstract class EvictionCandidate {
    /** When it was last used, and last looked at by who forgets. */
    long usedAt;

    long lookedAt;

    long lookAt(long after) {
        return lookedAt + after;
    }
}
