package milletyoke.simulation.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import milletyoke.simulation.experiment.ResultRow;
import milletyoke.simulation.experiment.Statistics;
import milletyoke.simulation.experiment.Statistics.Mean;
import milletyoke.simulation.experiment.Statistics.Paired;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Tables, intervals, comparisons and plots of one set of results: files beside each other, and one
 * page that needs none.
 */
public final class Report {
    private final String name;
    private final String axis;
    private final List<ResultRow> rows;
    private final List<String> arms;
    private final List<String> values;

    /**
     * @param axis what the values are
     * @param first arms in this order before any others; the first of all is what the others are
     *     compared with
     */
    public Report(String name, String axis, List<ResultRow> rows, List<String> first) {
        this.name = name;
        this.axis = axis;
        this.rows = rows;
        Set<String> a = new LinkedHashSet<>(first);
        Set<String> v = new LinkedHashSet<>();
        rows.forEach(
                r -> {
                    a.add(r.arm());
                    v.add(r.value());
                });
        arms = List.copyOf(a);
        values =
                v.stream()
                        .sorted(
                                (x, y) ->
                                        isFigure(x) && isFigure(y)
                                                ? Double.compare(
                                                        Double.parseDouble(x),
                                                        Double.parseDouble(y))
                                                : x.compareTo(y))
                        .toList();
    }

    private static boolean isFigure(String text) {
        return text.matches("-?[0-9]+(\\.[0-9]+)?");
    }

    private List<Double> figures(String arm, String value, ToDoubleFunction<ResultRow> of) {
        return rows.stream()
                .filter(r -> r.arm().equals(arm) && r.value().equals(value))
                .map(of::applyAsDouble)
                .toList();
    }

    /** Seeds that both arms played, so that they stand in pairs. */
    private Paired compare(String first, String second, String value) {
        Map<Integer, Double> a = new LinkedHashMap<>();
        rows.stream()
                .filter(r -> r.arm().equals(first) && r.value().equals(value))
                .forEach(r -> a.put(r.seed(), r.service()));
        List<Double> one = new ArrayList<>();
        List<Double> other = new ArrayList<>();
        rows.stream()
                .filter(
                        r ->
                                r.arm().equals(second)
                                        && r.value().equals(value)
                                        && a.containsKey(r.seed()))
                .forEach(
                        r -> {
                            one.add(a.get(r.seed()));
                            other.add(r.service());
                        });
        return one.size() < 2 ? null : Statistics.paired(one, other);
    }

    /** Means with their intervals, and every arm against the first. */
    public String text() {
        StringBuilder text = new StringBuilder(name + "\n");
        for (String value : values) {
            text.append(value.isEmpty() ? "" : axis + " " + value + "\n");
            for (String arm : arms) {
                List<Double> service = figures(arm, value, ResultRow::service);
                if (service.isEmpty()) {
                    continue;
                }
                text.append(
                        String.format(
                                "  %-24s service %s  evenness %.3f  p99 %.1f ms  passed %.0f%s  %d plays",
                                arm,
                                Statistics.mean(service).text(),
                                Statistics.mean(figures(arm, value, ResultRow::evenness)).mean(),
                                Statistics.mean(figures(arm, value, ResultRow::p99)).mean(),
                                Statistics.mean(
                                                figures(
                                                        arm,
                                                        value,
                                                        r ->
                                                                r.plans().values().stream()
                                                                        .mapToLong(n -> n)
                                                                        .sum()))
                                        .mean(),
                                ratio(arm, value),
                                service.size()));
                Paired p = arm.equals(arms.get(0)) ? null : compare(arms.get(0), arm, value);
                text.append(
                                p == null
                                        ? ""
                                        : String.format(
                                                "  against %s %s, by chance %.2g",
                                                arms.get(0), p.difference().text(), p.chance()))
                        .append('\n');
            }
        }
        return text.toString();
    }

    /** What two plans got, as the paper tells it; empty where there are not two. */
    private String ratio(String arm, String value) {
        if (!rows.stream().allMatch(r -> r.plans().size() == 2)) {
            return "";
        }
        List<String> two = List.copyOf(rows.get(0).plans().keySet());
        return "  ratio "
                + Statistics.mean(
                                figures(
                                        arm,
                                        value,
                                        r ->
                                                r.plans().get(two.get(0))
                                                        / (double)
                                                                Math.max(
                                                                        1,
                                                                        r.plans().get(two.get(1)))))
                        .text();
    }

    // ---- Plots ----

    private XYChart chart(String title, String x, String y) {
        XYChart chart =
                new XYChartBuilder()
                        .width(760)
                        .height(380)
                        .title(title)
                        .xAxisTitle(x)
                        .yAxisTitle(y)
                        .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(java.awt.Color.WHITE);
        chart.getStyler().setMarkerSize(5);
        return chart;
    }

    /** Service up to each second, the mean over seeds, for the first value. */
    private XYChart overTime() {
        XYChart chart = chart("Service so far", "seconds", "importance in time over asked");
        for (String arm : arms) {
            List<ResultRow> of =
                    rows.stream()
                            .filter(r -> r.arm().equals(arm) && r.value().equals(values.get(0)))
                            .toList();
            int seconds = of.stream().mapToInt(r -> r.seconds().size()).min().orElse(0);
            if (seconds > 0) {
                double[] x = new double[seconds];
                double[] y = new double[seconds];
                for (int s = 0; s < seconds; s++) {
                    int second = s;
                    x[s] = s + 1;
                    y[s] =
                            of.stream()
                                    .mapToDouble(r -> r.seconds().get(second))
                                    .average()
                                    .orElse(0);
                }
                chart.addSeries(arm, x, y).setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    /**
     * A figure over the values, with the interval of its mean; values that are no figures stand at
     * 1, 2, 3.
     */
    private XYChart over(String title, String y, ToDoubleFunction<ResultRow> of) {
        XYChart chart = chart(title, axis, y);
        for (String arm : arms) {
            List<Double> at = new ArrayList<>();
            List<Double> means = new ArrayList<>();
            List<Double> halves = new ArrayList<>();
            for (int v = 0; v < values.size(); v++) {
                List<Double> figures = figures(arm, values.get(v), of);
                if (!figures.isEmpty()) {
                    Mean mean = Statistics.mean(figures);
                    at.add(isFigure(values.get(v)) ? Double.parseDouble(values.get(v)) : v + 1.0);
                    means.add(mean.mean());
                    halves.add(mean.half());
                }
            }
            if (!at.isEmpty()) {
                chart.addSeries(arm, at, means, halves);
            }
        }
        return chart;
    }

    private Map<String, XYChart> charts() {
        Map<String, XYChart> all = new LinkedHashMap<>();
        all.put("service-over-time", overTime());
        all.put("service", over("Service", "service", ResultRow::service));
        all.put("p99", over("Answer times, 99th percentile", "ms", ResultRow::p99));
        all.put("p50", over("Answer times, median", "ms", ResultRow::p50));
        if (rows.stream().anyMatch(r -> r.coldUsed() > 0)) {
            all.put(
                    "cold",
                    over(
                            "Most that a cold target was sent",
                            "part of what it bears",
                            ResultRow::coldUsed));
        }
        all.put("evenness", over("Evenness between volumes", "Jain's index", ResultRow::evenness));
        all.put(
                "passed",
                over(
                        "Answered in time",
                        "accesses",
                        r -> r.plans().values().stream().mapToLong(n -> n).sum()));
        if (rows.stream().allMatch(r -> r.plans().size() == 2)) {
            List<String> two = List.copyOf(rows.get(0).plans().keySet());
            all.put(
                    "ratio",
                    over(
                            two.get(0) + " to " + two.get(1),
                            "answered in time, ratio",
                            r ->
                                    r.plans().get(two.get(0))
                                            / (double) Math.max(1, r.plans().get(two.get(1)))));
        }
        all.put(
                "cost",
                over(
                        "What a play costs",
                        "events of the lab a second of wall time",
                        r -> r.events() * 1e6 / Math.max(1, r.wall())));
        return all;
    }

    /**
     * Writes {@code index.html}, and each plot as SVG and PNG beside it.
     *
     * @return the page
     */
    public Path write(Path folder) throws IOException {
        Files.createDirectories(folder);
        StringBuilder figures = new StringBuilder();
        for (Map.Entry<String, XYChart> each : charts().entrySet()) {
            if (each.getValue().getSeriesMap().isEmpty()) {
                continue;
            }
            ByteArrayOutputStream svg = new ByteArrayOutputStream();
            VectorGraphicsEncoder.saveVectorGraphic(
                    each.getValue(), svg, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            String drawn = svg.toString(StandardCharsets.UTF_8);
            Files.writeString(folder.resolve(each.getKey() + ".svg"), drawn);
            BitmapEncoder.saveBitmap(
                    each.getValue(),
                    folder.resolve(each.getKey() + ".png").toString(),
                    BitmapEncoder.BitmapFormat.PNG);
            figures.append("<figure>")
                    .append(drawn.substring(drawn.indexOf("<svg")))
                    .append("</figure>\n");
        }
        Path page = folder.resolve("index.html");
        Files.writeString(page, page(figures.toString()));
        return page;
    }

    private String page(String figures) {
        Set<String> categories = new TreeSet<>();
        rows.forEach(r -> categories.addAll(r.categories().keySet()));
        StringBuilder table =
                new StringBuilder(
                        "<table><tr><th>arm<th>" + escaped(axis) + "<th>plays<th>service");
        categories.forEach(c -> table.append("<th>").append(escaped(c)));
        table.append("<th>p50 ms<th>p99 ms<th>evenness<th>against ")
                .append(escaped(arms.get(0)))
                .append("<th>by chance</tr>\n");
        for (String value : values) {
            for (String arm : arms) {
                List<Double> service = figures(arm, value, ResultRow::service);
                if (!service.isEmpty()) {
                    table.append(row(arm, value, service, categories));
                }
            }
        }
        return """
                <!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
                <style>body{font:14px/1.5 sans-serif;margin:2em auto;max-width:64em;padding:0 1em}
                table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}
                td:first-child,th:first-child{text-align:left}figure{margin:1.5em 0}svg{max-width:100%%;height:auto}</style>
                <h1>%s</h1>
                <p>Simulated in virtual time. Intervals are those of the mean, %.0f%%; arms are compared pair by pair on equal
                seeds (Student's t, two-sided).</p>
                %s</table>
                %s</html>
                """
                .formatted(
                        escaped(name), escaped(name), 100 * Statistics.CONFIDENCE, table, figures);
    }

    private String row(String arm, String value, List<Double> service, Set<String> categories) {
        Paired p = arm.equals(arms.get(0)) ? null : compare(arms.get(0), arm, value);
        return "<tr><td>"
                + escaped(arm)
                + "<td>"
                + escaped(value)
                + "<td>"
                + service.size()
                + "<td>"
                + Statistics.mean(service).text()
                + categories.stream()
                        .map(
                                c ->
                                        String.format(
                                                "<td>%.3f",
                                                Statistics.mean(
                                                                figures(
                                                                        arm,
                                                                        value,
                                                                        r ->
                                                                                r.categories()
                                                                                        .getOrDefault(
                                                                                                c,
                                                                                                Double
                                                                                                        .NaN)))
                                                        .mean()))
                        .collect(Collectors.joining())
                + String.format(
                        "<td>%.1f<td>%.1f<td>%.3f",
                        Statistics.mean(figures(arm, value, ResultRow::p50)).mean(),
                        Statistics.mean(figures(arm, value, ResultRow::p99)).mean(),
                        Statistics.mean(figures(arm, value, ResultRow::evenness)).mean())
                + (p == null
                        ? "<td><td>"
                        : "<td>" + p.difference().text() + String.format("<td>%.2g", p.chance()))
                + "</tr>\n";
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
