package milletyoke.scheduler;

/** State that is kept in case its owner returns, until it has been idle for long. */
abstract class EvictionCandidate {
    /** When it was last used; below, when eviction last checked it. Microseconds. */
    long lastUsedAt;

    long lastCheckedAt;

    long nextCheckAt(long after) {
        return lastCheckedAt + after;
    }
}
