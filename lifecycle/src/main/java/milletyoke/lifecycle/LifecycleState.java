package milletyoke.lifecycle;

/**
 * The lifecycle state of a process, least severe first: if several states apply, the process is in
 * the last of them. The console shows the names and descriptions.
 */
public enum LifecycleState {
    /** Has usable targets and free capacity. */
    READY(true, true, "accepts requests"),
    /** Has usable targets, but discovery has been unavailable for longer than the list timeout. */
    LIST_LOST(true, true, "accepts requests; endpoint list may be out of date"),
    /** Little capacity is left; requests that exceed it are rejected immediately. */
    SATURATED(true, true, "accepts requests as capacity permits"),
    /** Has not received an endpoint list yet. */
    STARTING(false, false, "waiting for the first endpoint list"),
    /** Has no usable target, so requests could not be executed. */
    WITHOUT_LIST(false, false, "no usable target"),
    /** Drained by an operator; pending requests are completed. */
    DRAINING(false, false, "rejects new requests, completes pending ones"),
    /** Shutting down: exits after pending requests are completed. Final. */
    LEAVING(false, false, "rejects new requests and shuts down");

    private final boolean admits;
    private final boolean isReadyForTraffic;
    private final String description;

    LifecycleState(boolean admits, boolean isReadyForTraffic, String description) {
        this.admits = admits;
        this.isReadyForTraffic = isReadyForTraffic;
        this.description = description;
    }

    /** Returns whether new requests are admitted as far as capacity permits. */
    public boolean admits() {
        return admits;
    }

    /** Returns whether load balancers should send new requests to this process. */
    public boolean isReadyForTraffic() {
        return isReadyForTraffic;
    }

    /** Returns the description that the console shows. */
    public String description() {
        return description;
    }
}
