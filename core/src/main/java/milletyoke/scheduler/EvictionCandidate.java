package milletyoke.scheduler;

/** State that is kept for the return of its owner until it has been idle for long. */
abstract class EvictionCandidate {
    /** When the state was last used, microseconds. */
    long lastUsedAt;

    /** When eviction last checked the state, microseconds. */
    long lastCheckedAt;

    long nextCheckAt(long idleMicros) {
        return lastCheckedAt + idleMicros;
    }
}
