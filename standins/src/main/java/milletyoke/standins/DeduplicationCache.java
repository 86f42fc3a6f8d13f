package milletyoke.standins;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The marks that one group of targets knows: a stamped access whose mark was run within the window
 * is not run again.
 */
public final class DeduplicationCache {
    private final long window;
    private final Map<String, Long> runAt = new LinkedHashMap<>();

    /**
     * @param window microseconds for which a mark is known
     */
    public DeduplicationCache(long window) {
        this.window = window;
    }

    /** Whether this is the mark's first run within the window; it is known from now on. */
    public synchronized boolean first(String mark, long now) {
        var oldest = runAt.entrySet().iterator();
        while (oldest.hasNext() && oldest.next().getValue() < now - window) {
            oldest.remove();
        }
        return runAt.putIfAbsent(mark, now) == null;
    }
}
