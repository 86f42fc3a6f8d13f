package milletyoke.standins;

/** The faults injected into a target; each lasts until it is reset. Thread-safe. */
final class TargetFaults {
    private volatile boolean isHanging;
    private volatile boolean isRefusingConnections;
    private volatile double slowdownFactor = 1;
    private volatile double errorFraction;
    private volatile double droppedReplyFraction;

    boolean isHanging() {
        return isHanging;
    }

    void setHanging(boolean isHanging) {
        this.isHanging = isHanging;
    }

    boolean isRefusingConnections() {
        return isRefusingConnections;
    }

    void setRefusingConnections(boolean isRefusingConnections) {
        this.isRefusingConnections = isRefusingConnections;
    }

    double slowdownFactor() {
        return slowdownFactor;
    }

    void setSlowdownFactor(double slowdownFactor) {
        this.slowdownFactor = slowdownFactor;
    }

    double errorFraction() {
        return errorFraction;
    }

    void setErrorFraction(double errorFraction) {
        this.errorFraction = errorFraction;
    }

    double droppedReplyFraction() {
        return droppedReplyFraction;
    }

    void setDroppedReplyFraction(double droppedReplyFraction) {
        this.droppedReplyFraction = droppedReplyFraction;
    }
}
