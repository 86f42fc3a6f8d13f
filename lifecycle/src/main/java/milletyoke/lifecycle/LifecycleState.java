package milletyoke.lifecycle;

/**
 * What a daemon is at one moment, in the order in which one outweighs the other: a later one hides
 * an earlier one.
 */
public enum LifecycleState {
    /** Knows its targets and has room. */
    READY(true, true, "takes accesses"),
    /**
     * Knows targets, but discovery has told nothing for longer than is borne: the list may be old.
     */
    LIST_LOST(true, true, "takes accesses by a list that may be old"),
    /** Little room is left; what is beyond is rejected at once. */
    SATURATED(true, true, "takes accesses as far as there is room"),
    /** Began, and has heard nothing of targets yet. */
    STARTING(false, false, "waits for its first list"),
    /** Knows no target that it may send to: whatever it took it could not answer. */
    WITHOUT_LIST(false, false, "knows no target"),
    /** An operator took it out of service; what is held is finished. */
    DRAINING(false, false, "takes nothing new, finishes what it holds"),
    /** It ends once what is held is finished; there is no way back. */
    LEAVING(false, false, "takes nothing new and ends");

    private final boolean admits;
    private final boolean fit;
    private final String tells;

    LifecycleState(boolean admits, boolean fit, String tells) {
        this.admits = admits;
        this.fit = fit;
        this.tells = tells;
    }

    /** Whether new accesses are taken, as far as there is room. */
    public boolean admits() {
        return admits;
    }

    /** Whether others should send new accesses here. */
    public boolean isFit() {
        return fit;
    }

    /** In words, for people. */
    public String tells() {
        return tells;
    }
}
