package milletyoke.gateway.loop;

/**
 * Deliberate stall of the event loop that simulates a long pause of the process, for scenarios.
 * Owned by the event loop.
 */
final class LoopStall {
    /** 0 if the loop is not stalled. */
    private long untilMicros;

    private Runnable onEnd;

    void begin(long untilMicros, Runnable onEnd) {
        this.untilMicros = untilMicros;
        this.onEnd = onEnd;
    }

    boolean isActive() {
        return untilMicros > 0;
    }

    long untilMicros() {
        return untilMicros;
    }

    void end() {
        untilMicros = 0;
        onEnd.run();
    }
}
