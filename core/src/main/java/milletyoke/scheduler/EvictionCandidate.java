package milletyoke.scheduler;

/** What is kept for when its owner returns. */
abstract class EvictionCandidate {
    /** When it was last used, and last looked at by who forgets. */
    long lastUsedAt;

    long lastCheckedAt;

    long nextCheckAt(long after) {
        return lastCheckedAt + after;
    }
}
