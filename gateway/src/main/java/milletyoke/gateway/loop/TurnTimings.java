package milletyoke.gateway.loop;

import org.HdrHistogram.Histogram;

/**
 * Measures the duration of the loop's turns, and the share of time spent on status snapshots. Owned
 * by the event loop.
 */
final class TurnTimings {
    private static final long MAX_TURN_MICROS = 60_000_000;
    private static final int DIGITS_SINCE_START = 3;
    private static final int DIGITS_RECENT = 2;

    /** Length of the periods after which the recent turns and the snapshot cost start anew. */
    private static final long PERIOD_MICROS = 5_000_000;

    private static final double NANOS_PER_MICRO = 1e3;

    private final Histogram sinceStart = new Histogram(MAX_TURN_MICROS, DIGITS_SINCE_START);
    private final Histogram recent = new Histogram(MAX_TURN_MICROS, DIGITS_RECENT);
    private long snapshotNanos;
    private long periodStartMicros;
    private double snapshotCost;

    void recordTurn(long micros) {
        long bounded = Math.min(MAX_TURN_MICROS, micros);
        sinceStart.recordValue(bounded);
        recent.recordValue(bounded);
    }

    void recordSnapshot(long nowMicros, long nanos) {
        snapshotNanos += nanos;
        if (nowMicros - periodStartMicros >= PERIOD_MICROS) {
            double elapsedMicros = nowMicros - periodStartMicros;
            snapshotCost =
                    periodStartMicros == 0 ? 0 : snapshotNanos / NANOS_PER_MICRO / elapsedMicros;
            snapshotNanos = 0;
            periodStartMicros = nowMicros;
            recent.reset();
        }
    }

    /** Returns the durations of recent turns in microseconds; the live histogram, not a copy. */
    Histogram recent() {
        return recent;
    }

    /** Returns the share of time spent on snapshots in the last full period, 0 to 1. */
    double snapshotCost() {
        return snapshotCost;
    }

    /** Returns a copy of the durations of all turns since the start, in microseconds. */
    Histogram copySinceStart() {
        return sinceStart.copy();
    }
}
