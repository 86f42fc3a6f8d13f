package milletyoke.gateway.status;

import java.util.HashMap;
import java.util.Map;
import milletyoke.gateway.status.StatusSnapshot.SecondSummary;

/**
 * The series of one kind by name, bounded in number. A lookup of a known name allocates nothing.
 * Used by the event loop alone.
 */
final class SeriesGroup {
    /** What exceeds the bound is counted under this name. */
    private static final String OTHERS = "others";

    private final String prefix;
    private final int maxSeries;
    private final Map<String, SecondAccumulator> seriesByName = new HashMap<>();
    private final SecondAccumulator others = new SecondAccumulator();

    /**
     * Creates an empty group.
     *
     * @param prefix of the series' keys in a row
     */
    SeriesGroup(String prefix, int maxSeries) {
        this.prefix = prefix;
        this.maxSeries = maxSeries;
    }

    SecondAccumulator series(String name) {
        SecondAccumulator known = seriesByName.get(name);
        if (known == null && (seriesByName.size() >= maxSeries || name.equals(OTHERS))) {
            return others;
        }
        if (known == null) {
            known = new SecondAccumulator();
            seriesByName.put(name, known);
        }
        return known;
    }

    /**
     * Adds the summaries of the second to a row. A series without any event in the second is
     * removed and makes room for another.
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
