package milletyoke.standins;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys executed within the deduplication window by the targets of one deduplication
 * scope. Thread-safe.
 */
public final class DeduplicationCache {
    private final long windowMicros;

    /** Execution times by key, oldest first. */
    private final Map<String, Long> executedAtMicros = new LinkedHashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param windowMicros how long a key is kept (microseconds)
     */
    public DeduplicationCache(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /**
     * Records the execution of a key.
     *
     * @return whether this is the first execution of the key within the window
     */
    public synchronized boolean recordExecution(String key, long nowMicros) {
        Iterator<Map.Entry<String, Long>> oldestEntries = executedAtMicros.entrySet().iterator();
        while (oldestEntries.hasNext()
                && oldestEntries.next().getValue() < nowMicros - windowMicros) {
            oldestEntries.remove();
        }
        return executedAtMicros.putIfAbsent(key, nowMicros) == null;
    }
}
