package milletyoke.gateway.console;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.status.ServiceStatistics;
import milletyoke.gateway.status.StatusSnapshot.SecondSummary;

/** Builds the charts of the last two minutes from the rows of past seconds. */
final class Charts {
    private static final int SECONDS = 120;
    private static final int MAX_LINES = 12;
    private static final String VOLUME_PREFIX = "volume:";
    private static final String OTHERS = "others";

    private final EventLoop loop;

    Charts(EventLoop loop) {
        this.loop = loop;
    }

    /** Computes the value of a point; null for no point. */
    private interface PointValue {
        Double of(SecondSummary second);
    }

    PageView.Chart onTimeByCategory(AccessScope scope) {
        return chart("answered in time", "%", "category:", Charts::onTimePercent, scope);
    }

    private static Double onTimePercent(SecondSummary second) {
        if (second.requests() == 0) {
            return null;
        }
        int ended = second.answered() + second.rejected() + second.failed();
        return Math.min(100.0, 100.0 * second.onTime() / Math.max(second.requests(), ended));
    }

    PageView.Chart latencyByTarget() {
        return chart(
                "answers of targets, p50",
                "ms",
                "target:",
                second -> second.answered() == 0 ? null : second.p50Micros() / 1e3,
                null);
    }

    PageView.Chart requestsByVolume(AccessScope scope) {
        return chart("asked", "/s", VOLUME_PREFIX, second -> (double) second.requests(), scope);
    }

    /**
     * Returns a chart of the series with the most events.
     *
     * @param scope null if the series belong to no tenant
     */
    private PageView.Chart chart(
            String name, String unit, String prefix, PointValue point, AccessScope scope) {
        List<ServiceStatistics.Row> rows = loop.rows(SECONDS);
        List<PageView.Line> lines = new ArrayList<>();
        for (String series : largestSeries(rows, prefix, scope)) {
            List<Double> points = new ArrayList<>();
            for (ServiceStatistics.Row row : rows) {
                SecondSummary second = row.series().get(prefix + series);
                points.add(second == null ? null : point.of(second));
            }
            lines.add(new PageView.Line(series, points));
        }
        return new PageView.Chart(name, unit, lines);
    }

    private static List<String> largestSeries(
            List<ServiceStatistics.Row> rows, String prefix, AccessScope scope) {
        Map<String, Integer> sums = new LinkedHashMap<>();
        for (ServiceStatistics.Row row : rows) {
            row.series()
                    .forEach(
                            (key, second) -> {
                                if (isVisible(key, prefix, scope)) {
                                    String name = key.substring(prefix.length());
                                    int events = second.requests() + second.answered();
                                    sums.merge(name, events, Integer::sum);
                                }
                            });
        }
        return sums.entrySet().stream()
                .sorted(
                        Map.Entry.<String, Integer>comparingByValue()
                                .reversed()
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAX_LINES)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    private static boolean isVisible(String key, String prefix, AccessScope scope) {
        if (!key.startsWith(prefix)) {
            return false;
        }
        if (scope == null || !prefix.equals(VOLUME_PREFIX) || scope.canSeeAll()) {
            return true;
        }
        String volume = key.substring(prefix.length());
        return !volume.equals(OTHERS) && scope.canSee(volume);
    }
}
