package milletyoke.scheduler;

/**
 * Units sent to a target while it was warming up. They count against this initiator's budget until
 * one overload window after the attempt ended: on a connection that was established late, the
 * attempt may have reached the target only just before its end.
 */
final class WarmUpSend {
    final double units;

    /** Microseconds; {@link IndexedTimerQueue#NEVER} while the attempt is in flight. */
    long countedUntil = IndexedTimerQueue.NEVER;

    WarmUpSend(double units) {
        this.units = units;
    }
}
