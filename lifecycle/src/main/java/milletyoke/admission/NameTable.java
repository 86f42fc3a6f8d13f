package milletyoke.admission;

import java.util.LinkedHashMap;

/**
 * Bounds the names in use. A name costs memory for some time after its last use, whoever made it
 * up, so a new one is admitted only while the table has room, or once the one longest unused has
 * been so for the retention time. That protects the memory against peers that never use a name
 * twice. The bound must be set over the number of volumes of a deployment; a peer that fills the
 * table keeps out names that were not used lately.
 *
 * <p>Knows no clock. Not thread-safe: the caller serializes the calls.
 */
public final class NameTable {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxNames;
    private final long retentionMicros;

    /** When each name was last used, the one longest unused first. */
    private final LinkedHashMap<String, Long> lastUses =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    /**
     * Creates an empty table.
     *
     * @param maxNames names in use at once, from 1
     * @param retentionMicros how long state of a name is kept after its last use, from 0
     */
    public NameTable(int maxNames, long retentionMicros) {
        if (maxNames < 1 || retentionMicros < 0) {
            throw new IllegalArgumentException(
                    "expected at least one name and a retention from 0, not "
                            + maxNames
                            + ", "
                            + retentionMicros);
        }
        this.maxNames = maxNames;
        this.retentionMicros = retentionMicros;
    }

    /**
     * Whether a name may be used: it is in use, or there is room for one more.
     *
     * @param nowMicros never less than in an earlier call
     */
    public boolean admits(String name, long nowMicros) {
        return lastUses.containsKey(name)
                || lastUses.size() < maxNames
                || nowMicros - lastUses.values().iterator().next() >= retentionMicros;
    }

    /**
     * Uses a name.
     *
     * @throws IllegalStateException where the name is not admitted
     */
    public void acquire(String name, long nowMicros) {
        if (!admits(name, nowMicros)) {
            throw new IllegalStateException("there is no room for the name " + name);
        }
        if (!lastUses.containsKey(name) && lastUses.size() >= maxNames) {
            lastUses.remove(lastUses.keySet().iterator().next());
        }
        lastUses.put(name, nowMicros);
    }

    /** Names in use. */
    public int inUse() {
        return lastUses.size();
    }
}
