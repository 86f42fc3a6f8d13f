package milletyoke.standins;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The idempotency keys that were executed within the deduplication window, for all targets of one
 * deduplication scope. Thread-safe.
 */
public final class DeduplicationCache {
    private final long windowMicros;

    /** By key, oldest first. */
    private final Map<String, Long> executedAtMicros = new LinkedHashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param windowMicros how long a key is remembered (microseconds)
     */
    public DeduplicationCache(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /**
     * Remembers that a key is executed now.
     *
     * @return whether this is its first execution within the window
     */
    public synchronized boolean recordExecution(String key, long nowMicros) {
        Iterator<Map.Entry<String, Long>> oldestFirst = executedAtMicros.entrySet().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().getValue() < nowMicros - windowMicros) {
            oldestFirst.remove();
        }
        return executedAtMicros.putIfAbsent(key, nowMicros) == null;
    }
}
