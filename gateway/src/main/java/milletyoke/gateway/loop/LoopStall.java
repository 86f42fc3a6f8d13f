package milletyoke.gateway.loop;

/**
 * A deliberate stall of the event loop, as a long pause of the process would cause; for scenarios.
 * Owned by the event loop.
 */
final class LoopStall {
    /** 0 where the loop is not stalled. */
    private long untilMicros;

    private Runnable afterwards;

    void begin(long untilMicros, Runnable afterwards) {
        this.untilMicros = untilMicros;
        this.afterwards = afterwards;
    }

    boolean isActive() {
        return untilMicros > 0;
    }

    long untilMicros() {
        return untilMicros;
    }

    void end() {
        untilMicros = 0;
        afterwards.run();
    }
}
