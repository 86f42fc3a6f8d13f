package milletyoke.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The marks that one group of targets knows: a stamped access whose mark was run within the window
 * is not run again.
 */
public final class DeduplicationCache {
    private final long windowMicros;
    private final Map<String, Long> executedAtMicros = new LinkedHashMap<>();

    /**
     * @param windowMicros microseconds for which a mark is known
     */
    public DeduplicationCache(long window) {
        this.windowMicros = window;
    }

    /** Whether this is the mark's first run within the window; it is known from now on. */
    public synchronized boolean recordExecution(String mark, long now) {
        var oldest = executedAtMicros.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue() < now - windowMicros) {
            oldest.remove();
        }
        return executedAtMicros.putIfAbsent(mark, now) == null;
    }
}
