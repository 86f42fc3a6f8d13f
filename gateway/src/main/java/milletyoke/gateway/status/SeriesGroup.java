package milletyoke.gateway.status;

import java.util.HashMap;
import java.util.Map;
import milletyoke.gateway.status.StatusSnapshot.SecondSummary;

/**
 * Holds the series of one kind by name, up to a maximum number. Looking up an existing series
 * allocates nothing. Used only by the event loop.
 */
final class SeriesGroup {
    /** Name of the series that counts the events of all series beyond the maximum. */
    private static final String OTHERS = "others";

    private final String prefix;
    private final int maxSeries;
    private final Map<String, SecondAccumulator> seriesByName = new HashMap<>();
    private final SecondAccumulator others = new SecondAccumulator();

    /**
     * Creates an empty group.
     *
     * @param prefix prefix of the series' keys in a row
     */
    SeriesGroup(String prefix, int maxSeries) {
        this.prefix = prefix;
        this.maxSeries = maxSeries;
    }

    SecondAccumulator series(String name) {
        SecondAccumulator accumulator = seriesByName.get(name);
        if (accumulator == null && (seriesByName.size() >= maxSeries || name.equals(OTHERS))) {
            return others;
        }
        if (accumulator == null) {
            accumulator = new SecondAccumulator();
            seriesByName.put(name, accumulator);
        }
        return accumulator;
    }

    /**
     * Adds the summaries of the current second to a row. A series without an event in that second
     * is removed, so that another can take its place.
     */
    void finishSecond(Map<String, SecondSummary> row) {
        seriesByName.forEach(
                (name, series) -> {
                    if (!series.isEmpty()) {
                        row.put(prefix + name, series.finish());
                    }
                });
        seriesByName.keySet().removeIf(name -> !row.containsKey(prefix + name));
        if (!others.isEmpty()) {
            row.put(prefix + OTHERS, others.finish());
        }
    }
}
