package milletyoke.scheduler;

/**
 * Units sent to a target while it was warming up. They count against this initiator's budget until
 * one overload window after the attempt ended: it may have reached the target as late as that, on a
 * connection that came up late.
 */
final class WarmUpSend {
    final double units;

    /** Microseconds; {@link IndexedTimerQueue#NEVER} while the attempt is in flight. */
    long countedUntil = IndexedTimerQueue.NEVER;

    WarmUpSend(double units) {
        this.units = units;
    }
}
