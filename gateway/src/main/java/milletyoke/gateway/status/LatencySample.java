package milletyoke.gateway.status;

import java.util.Arrays;
import org.HdrHistogram.Histogram;

/**
 * Holds the latencies of one second: up to {@value #MAX_IN_ARRAY} in an array, more in a histogram.
 * Reading and clearing hundreds of histograms with a few values each would delay the event loop by
 * milliseconds at the end of every second; the array costs a few hundred bytes per series. Not
 * thread-safe.
 */
final class LatencySample {
    private static final int MAX_MICROS = 60_000_000;
    private static final int MAX_IN_ARRAY = 64;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final int[] values = new int[MAX_IN_ARRAY];
    private int count;
    private Histogram histogram;
    private boolean usesHistogram;

    void add(long micros) {
        int value = (int) Math.min(MAX_MICROS, Math.max(0, micros));
        if (!usesHistogram && count < values.length) {
            values[count++] = value;
            return;
        }
        if (!usesHistogram) {
            moveToHistogram();
        }
        histogram.recordValue(value);
    }

    private void moveToHistogram() {
        usesHistogram = true;
        histogram = histogram == null ? new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS) : histogram;
        for (int value : values) {
            histogram.recordValue(value);
        }
    }

    /** Sorts the values; must be called before {@link #percentile}. */
    void sort() {
        Arrays.sort(values, 0, count);
    }

    /** Returns a percentile by nearest rank, as the histogram does; 0 if there are no values. */
    int percentile(int percent) {
        if (usesHistogram) {
            return (int) histogram.getValueAtPercentile(percent);
        }
        return count == 0 ? 0 : values[Math.max(0, (count * percent + 99) / 100 - 1)];
    }

    void clear() {
        count = 0;
        if (usesHistogram) {
            histogram.reset();
            usesHistogram = false;
        }
    }
}
