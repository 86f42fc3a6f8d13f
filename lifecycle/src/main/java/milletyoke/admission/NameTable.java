package milletyoke.admission;

import java.util.LinkedHashMap;

/**
 * Limits the number of names in use. State for a name occupies memory for the retention time after
 * its last use, so a new name is admitted only if the table has a free entry or its least recently
 * used name has been unused for the retention time. This protects the memory against peers that
 * never use a name twice. The limit must exceed the number of volumes of a deployment: a peer that
 * fills the table excludes names that were not used recently.
 *
 * <p>Does not read a clock. Not thread-safe: the caller serializes the calls.
 */
public final class NameTable {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxNames;
    private final long retentionMicros;

    /** The time of each name's last use, least recently used first. */
    private final LinkedHashMap<String, Long> lastUseMicros =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    /**
     * Creates an empty table.
     *
     * @param maxNames maximum number of names in use, at least 1
     * @param retentionMicros time for which the state of a name is kept after its last use, at
     *     least 0
     */
    public NameTable(int maxNames, long retentionMicros) {
        if (maxNames < 1 || retentionMicros < 0) {
            throw new IllegalArgumentException(
                    "maxNames must be at least 1 and retentionMicros at least 0: maxNames="
                            + maxNames
                            + ", retentionMicros="
                            + retentionMicros);
        }
        this.maxNames = maxNames;
        this.retentionMicros = retentionMicros;
    }

    /**
     * Returns whether a name may be used: it is in use already, or a new name is admitted.
     *
     * @param nowMicros the current time, which must not decrease between calls
     */
    public boolean admits(String name, long nowMicros) {
        return lastUseMicros.containsKey(name)
                || lastUseMicros.size() < maxNames
                || nowMicros - lastUseMicros.values().iterator().next() >= retentionMicros;
    }

    /**
     * Records a use of a name. A new name replaces the least recently used one if the table is
     * full.
     *
     * @throws IllegalStateException if the name is not admitted
     */
    public void acquire(String name, long nowMicros) {
        if (!admits(name, nowMicros)) {
            throw new IllegalStateException("name table is full, cannot add name " + name);
        }
        if (!lastUseMicros.containsKey(name) && lastUseMicros.size() >= maxNames) {
            lastUseMicros.remove(lastUseMicros.keySet().iterator().next());
        }
        lastUseMicros.put(name, nowMicros);
    }

    /** Returns the number of names in use. */
    public int inUse() {
        return lastUseMicros.size();
    }
}
