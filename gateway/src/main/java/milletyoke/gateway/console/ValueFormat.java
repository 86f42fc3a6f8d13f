package milletyoke.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;

/** Formats values for the pages. The resulting texts are values of the console's JSON. */
final class ValueFormat {
    /** Columns of the rows returned by {@link #tallyRow}. */
    static final List<String> TALLY_COLUMNS =
            List.of("name", "asked", "answered", "in time", "rejected", "broken off");

    private static final int MICROS_PER_MILLI = 1_000;
    private static final int MICROS_PER_SECOND = 1_000_000;

    private ValueFormat() {}

    static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * share);
    }

    static String duration(long micros) {
        return micros < MICROS_PER_MILLI
                ? micros + " us"
                : String.format(Locale.ROOT, "%.1f ms", micros / (double) MICROS_PER_MILLI);
    }

    static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }

    /** Formats the time since a start; a start of 0 means long ago. */
    static String age(long nowMicros, long startedAtMicros) {
        return startedAtMicros == 0
                ? "long"
                : (nowMicros - startedAtMicros) / MICROS_PER_SECOND + " s";
    }

    static List<Object> tallyRow(String name, RequestTally tally) {
        return List.of(
                name,
                tally.requests(),
                tally.answered(),
                percent(tally.onTimeShare()),
                tally.rejected(),
                tally.failed());
    }

    static void addTally(Map<String, Object> figures, RequestTally tally) {
        figures.put("asked", tally.requests());
        figures.put("answered", tally.answered());
        figures.put("in time", percent(tally.onTimeShare()));
        figures.put("rejected", tally.rejected());
        figures.put("broken off", tally.failed());
    }
}
