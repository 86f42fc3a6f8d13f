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
 * Formats the results of an experiment as text, plots and a self-contained HTML page, with
 * confidence intervals and paired comparisons of the arms.
 */
public final class Report {
    private final String name;
    private final String axis;
    private final List<ResultRow> rows;
    private final List<String> arms;
    private final List<String> values;

    /**
     * Creates a report.
     *
     * @param name title of the report
     * @param axis description of the experiment's values
     * @param firstArms arms listed before any others, in this order; the first arm of all is the
     *     reference that the others are compared with
     */
    public Report(String name, String axis, List<ResultRow> rows, List<String> firstArms) {
        this.name = name;
        this.axis = axis;
        this.rows = rows;
        Set<String> distinctArms = new LinkedHashSet<>(firstArms);
        Set<String> distinctValues = new LinkedHashSet<>();
        rows.forEach(
                row -> {
                    distinctArms.add(row.arm());
                    distinctValues.add(row.value());
                });
        arms = List.copyOf(distinctArms);
        values =
                distinctValues.stream()
                        .sorted(
                                (first, second) ->
                                        isNumber(first) && isNumber(second)
                                                ? Double.compare(
                                                        Double.parseDouble(first),
                                                        Double.parseDouble(second))
                                                : first.compareTo(second))
                        .toList();
    }

    private static boolean isNumber(String text) {
        return text.matches("-?[0-9]+(\\.[0-9]+)?");
    }

    private List<Double> samples(String arm, String value, ToDoubleFunction<ResultRow> metric) {
        return rows.stream()
                .filter(row -> row.arm().equals(arm) && row.value().equals(value))
                .map(metric::applyAsDouble)
                .toList();
    }

    /** Compares two arms on the seeds that both have; null for fewer than two such seeds. */
    private Paired compare(String first, String second, String value) {
        Map<Integer, Double> firstBySeed = new LinkedHashMap<>();
        rows.stream()
                .filter(row -> row.arm().equals(first) && row.value().equals(value))
                .forEach(row -> firstBySeed.put(row.seed(), row.service()));
        List<Double> firstSamples = new ArrayList<>();
        List<Double> secondSamples = new ArrayList<>();
        rows.stream()
                .filter(
                        row ->
                                row.arm().equals(second)
                                        && row.value().equals(value)
                                        && firstBySeed.containsKey(row.seed()))
                .forEach(
                        row -> {
                            firstSamples.add(firstBySeed.get(row.seed()));
                            secondSamples.add(row.service());
                        });
        return firstSamples.size() < 2 ? null : Statistics.paired(firstSamples, secondSamples);
    }

    /** Returns means with their intervals, and comparisons with the first arm, as text. */
    public String text() {
        StringBuilder text = new StringBuilder(name + "\n");
        for (String value : values) {
            text.append(value.isEmpty() ? "" : axis + " " + value + "\n");
            for (String arm : arms) {
                List<Double> serviceLevels = samples(arm, value, ResultRow::service);
                if (serviceLevels.isEmpty()) {
                    continue;
                }
                text.append(
                        String.format(
                                "  %-24s service %s  evenness %.3f  p99 %.1f ms  passed %.0f%s  %d plays",
                                arm,
                                Statistics.mean(serviceLevels).text(),
                                Statistics.mean(samples(arm, value, ResultRow::evenness)).mean(),
                                Statistics.mean(samples(arm, value, ResultRow::p99)).mean(),
                                Statistics.mean(
                                                samples(
                                                        arm,
                                                        value,
                                                        row ->
                                                                row.plans().values().stream()
                                                                        .mapToLong(count -> count)
                                                                        .sum()))
                                        .mean(),
                                planRatio(arm, value),
                                serviceLevels.size()));
                Paired paired = arm.equals(arms.get(0)) ? null : compare(arms.get(0), arm, value);
                text.append(
                                paired == null
                                        ? ""
                                        : String.format(
                                                "  against %s %s, by chance %.2g",
                                                arms.get(0),
                                                paired.difference().text(),
                                                paired.pValue()))
                        .append('\n');
            }
        }
        return text.toString();
    }

    /** Formats the ratio of requests in time if there are exactly two plans; empty otherwise. */
    private String planRatio(String arm, String value) {
        if (!rows.stream().allMatch(row -> row.plans().size() == 2)) {
            return "";
        }
        List<String> plans = List.copyOf(rows.get(0).plans().keySet());
        return "  ratio "
                + Statistics.mean(
                                samples(
                                        arm,
                                        value,
                                        row ->
                                                row.plans().get(plans.get(0))
                                                        / (double)
                                                                Math.max(
                                                                        1,
                                                                        row.plans()
                                                                                .get(
                                                                                        plans.get(
                                                                                                1)))))
                        .text();
    }

    // ---- Plots ----

    private XYChart chart(String title, String xTitle, String yTitle) {
        XYChart chart =
                new XYChartBuilder()
                        .width(760)
                        .height(380)
                        .title(title)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(java.awt.Color.WHITE);
        chart.getStyler().setMarkerSize(5);
        return chart;
    }

    /** Plots the service level up to each second: mean over all seeds, for the first value. */
    private XYChart plotBySecond() {
        XYChart chart = chart("Cumulative service level", "seconds", "importance in time / total");
        for (String arm : arms) {
            List<ResultRow> armRows =
                    rows.stream()
                            .filter(
                                    row ->
                                            row.arm().equals(arm)
                                                    && row.value().equals(values.get(0)))
                            .toList();
            int seconds = armRows.stream().mapToInt(row -> row.seconds().size()).min().orElse(0);
            if (seconds > 0) {
                double[] xValues = new double[seconds];
                double[] yValues = new double[seconds];
                for (int i = 0; i < seconds; i++) {
                    int second = i;
                    xValues[i] = i + 1;
                    yValues[i] =
                            armRows.stream()
                                    .mapToDouble(row -> row.seconds().get(second))
                                    .average()
                                    .orElse(0);
                }
                chart.addSeries(arm, xValues, yValues).setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    /**
     * Plots the mean of a metric, with its interval, over the experiment's values. Values that are
     * not numbers are placed at 1, 2, 3 and so on.
     */
    private XYChart plot(String title, String yTitle, ToDoubleFunction<ResultRow> metric) {
        XYChart chart = chart(title, axis, yTitle);
        for (String arm : arms) {
            List<Double> positions = new ArrayList<>();
            List<Double> means = new ArrayList<>();
            List<Double> halfWidths = new ArrayList<>();
            for (int i = 0; i < values.size(); i++) {
                List<Double> samples = samples(arm, values.get(i), metric);
                if (!samples.isEmpty()) {
                    Mean mean = Statistics.mean(samples);
                    positions.add(
                            isNumber(values.get(i)) ? Double.parseDouble(values.get(i)) : i + 1.0);
                    means.add(mean.mean());
                    halfWidths.add(mean.halfWidth());
                }
            }
            if (!positions.isEmpty()) {
                chart.addSeries(arm, positions, means, halfWidths);
            }
        }
        return chart;
    }

    private Map<String, XYChart> charts() {
        Map<String, XYChart> charts = new LinkedHashMap<>();
        charts.put("service-over-time", plotBySecond());
        charts.put("service", plot("Service", "service", ResultRow::service));
        charts.put("p99", plot("Latency, 99th percentile", "ms", ResultRow::p99));
        charts.put("p50", plot("Latency, median", "ms", ResultRow::p50));
        if (rows.stream().anyMatch(row -> row.coldUsed() > 0)) {
            charts.put(
                    "cold",
                    plot(
                            "Largest warm-up load of a target",
                            "fraction of its warm-up capacity",
                            ResultRow::coldUsed));
        }
        charts.put(
                "evenness", plot("Fairness between volumes", "Jain's index", ResultRow::evenness));
        charts.put(
                "passed",
                plot(
                        "Requests in time",
                        "requests",
                        row -> row.plans().values().stream().mapToLong(count -> count).sum()));
        if (rows.stream().allMatch(row -> row.plans().size() == 2)) {
            List<String> plans = List.copyOf(rows.get(0).plans().keySet());
            charts.put(
                    "ratio",
                    plot(
                            plans.get(0) + " to " + plans.get(1),
                            "requests in time, ratio",
                            row ->
                                    row.plans().get(plans.get(0))
                                            / (double) Math.max(1, row.plans().get(plans.get(1)))));
        }
        charts.put(
                "cost",
                plot(
                        "Simulation speed",
                        "events per second of wall-clock time",
                        row -> row.events() * 1e6 / Math.max(1, row.wall())));
        return charts;
    }

    /**
     * Writes the page as {@code index.html}, and each plot as an SVG and a PNG file.
     *
     * @return the page
     * @throws IOException if a file cannot be written
     */
    public Path write(Path folder) throws IOException {
        Files.createDirectories(folder);
        StringBuilder plots = new StringBuilder();
        for (Map.Entry<String, XYChart> entry : charts().entrySet()) {
            if (entry.getValue().getSeriesMap().isEmpty()) {
                continue;
            }
            ByteArrayOutputStream svg = new ByteArrayOutputStream();
            VectorGraphicsEncoder.saveVectorGraphic(
                    entry.getValue(), svg, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            String image = svg.toString(StandardCharsets.UTF_8);
            Files.writeString(folder.resolve(entry.getKey() + ".svg"), image);
            BitmapEncoder.saveBitmap(
                    entry.getValue(),
                    folder.resolve(entry.getKey() + ".png").toString(),
                    BitmapEncoder.BitmapFormat.PNG);
            plots.append("<figure>")
                    .append(image.substring(image.indexOf("<svg")))
                    .append("</figure>\n");
        }
        Path page = folder.resolve("index.html");
        Files.writeString(page, page(plots.toString()));
        return page;
    }

    private String page(String plots) {
        Set<String> requestClasses = new TreeSet<>();
        rows.forEach(row -> requestClasses.addAll(row.categories().keySet()));
        StringBuilder table =
                new StringBuilder(
                        "<table><tr><th>arm<th>" + escaped(axis) + "<th>plays<th>service");
        requestClasses.forEach(requestClass -> table.append("<th>").append(escaped(requestClass)));
        table.append("<th>p50 ms<th>p99 ms<th>evenness<th>against ")
                .append(escaped(arms.get(0)))
                .append("<th>by chance</tr>\n");
        for (String value : values) {
            for (String arm : arms) {
                List<Double> serviceLevels = samples(arm, value, ResultRow::service);
                if (!serviceLevels.isEmpty()) {
                    table.append(tableRow(arm, value, serviceLevels, requestClasses));
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
                .formatted(escaped(name), escaped(name), 100 * Statistics.CONFIDENCE, table, plots);
    }

    private String tableRow(
            String arm, String value, List<Double> serviceLevels, Set<String> requestClasses) {
        Paired paired = arm.equals(arms.get(0)) ? null : compare(arms.get(0), arm, value);
        return "<tr><td>"
                + escaped(arm)
                + "<td>"
                + escaped(value)
                + "<td>"
                + serviceLevels.size()
                + "<td>"
                + Statistics.mean(serviceLevels).text()
                + requestClasses.stream()
                        .map(
                                requestClass ->
                                        String.format(
                                                "<td>%.3f",
                                                Statistics.mean(
                                                                samples(
                                                                        arm,
                                                                        value,
                                                                        row ->
                                                                                row.categories()
                                                                                        .getOrDefault(
                                                                                                requestClass,
                                                                                                Double
                                                                                                        .NaN)))
                                                        .mean()))
                        .collect(Collectors.joining())
                + String.format(
                        "<td>%.1f<td>%.1f<td>%.3f",
                        Statistics.mean(samples(arm, value, ResultRow::p50)).mean(),
                        Statistics.mean(samples(arm, value, ResultRow::p99)).mean(),
                        Statistics.mean(samples(arm, value, ResultRow::evenness)).mean())
                + (paired == null
                        ? "<td><td>"
                        : "<td>"
                                + paired.difference().text()
                                + String.format("<td>%.2g", paired.pValue()))
                + "</tr>\n";
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
