package milletyoke.admission;

import java.util.LinkedHashMap;

/**
 * Decides whether an access may bring a name that is not in use. A name costs memory behind the
 * door for some time after its last use, whoever made it up, so the names in use are bounded: a new
 * one gets in only while there is room, or once the one longest unused has been so for {@code
 * kept}. Guards the memory of a daemon against peers that never use a name twice. Could harm a
 * deployment of more volumes than the bound, which must be set over them; and a peer that fills it
 * keeps names out that were not used lately. Knows no clock; one owner at a time may call it.
 */
public final class NameTable {
    private final int most;
    private final long kept;

    /** When each was last used, those longest unused first. */
    private final LinkedHashMap<String, Long> lastUse = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * @param most names in use at once
     * @param kept microseconds for which something is remembered of a name after its last use
     */
    public NameTable(int most, long kept) {
        if (most < 1 || kept < 0) {
            throw new IllegalArgumentException(
                    "at least one name, kept for 0 or more, is expected, not "
                            + most
                            + ", "
                            + kept);
        }
        this.most = most;
        this.kept = kept;
    }

    /**
     * Whether a name may be used: it is in use, or there is room for one more. @param now
     * microseconds, never going back
     */
    public boolean admits(String name, long now) {
        return lastUse.containsKey(name)
                || lastUse.size() < most
                || now - lastUse.values().iterator().next() >= kept;
    }

    /**
     * @throws IllegalStateException where the name is not admitted
     */
    public void acquire(String name, long now) {
        if (!admits(name, now)) {
            throw new IllegalStateException("there is no room for the name " + name);
        }
        if (!lastUse.containsKey(name) && lastUse.size() >= most) {
            lastUse.remove(lastUse.keySet().iterator().next());
        }
        lastUse.put(name, now);
    }

    public int inUse() {
        return lastUse.size();
    }
}
