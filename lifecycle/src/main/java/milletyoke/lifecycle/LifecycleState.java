package milletyoke.lifecycle;

/**
 * The state of a process, the least severe first: where several apply, the process is in the last
 * of them. The names and texts are shown by the console.
 */
public enum LifecycleState {
    /** Knows its targets and has capacity. */
    READY(true, true, "takes accesses"),
    /** Knows targets, but discovery has been away for so long that the list may be out of date. */
    LIST_LOST(true, true, "takes accesses by a list that may be old"),
    /** Little capacity is left; what exceeds it is rejected at once. */
    SATURATED(true, true, "takes accesses as far as there is room"),
    /** Started, and has no endpoint list yet. */
    STARTING(false, false, "waits for its first list"),
    /** Knows no target that it may send to, so it could not answer a request. */
    WITHOUT_LIST(false, false, "knows no target"),
    /** An operator drained it; requests that were admitted are finished. */
    DRAINING(false, false, "takes nothing new, finishes what it holds"),
    /** Shutting down: ends once the requests that were admitted are finished. Final. */
    LEAVING(false, false, "takes nothing new and ends");

    private final boolean admits;
    private final boolean isFit;
    private final String description;

    LifecycleState(boolean admits, boolean isFit, String description) {
        this.admits = admits;
        this.isFit = isFit;
        this.description = description;
    }

    /** Whether new requests are admitted, as far as there is capacity. */
    public boolean admits() {
        return admits;
    }

    /** Whether load balancers should send new requests here. */
    public boolean isFit() {
        return isFit;
    }

    /** A description for people, as the console shows it. */
    public String tells() {
        return description;
    }
}
