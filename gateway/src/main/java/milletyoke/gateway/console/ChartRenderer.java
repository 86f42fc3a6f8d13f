package milletyoke.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Renders charts as SVG. Stateless. */
final class ChartRenderer {
    private static final int WIDTH = 600;
    private static final int HEIGHT = 120;

    /** Space above and below the lines. */
    private static final int MARGIN = 2;

    /** Number of line styles in the style sheet. */
    private static final int LINE_STYLES = 12;

    private ChartRenderer() {}

    static void render(StringBuilder out, PageView.Chart chart) {
        double max = maxValue(chart);
        String name = HtmlRenderer.escape(chart.name());
        out.append("<figure data-chart=\"")
                .append(name)
                .append("\"><figcaption>")
                .append(name)
                .append(", up to ")
                .append(String.format(Locale.ROOT, "%.1f %s", max, chart.unit()))
                .append(", the last two minutes</figcaption><svg viewBox=\"0 0 ")
                .append(WIDTH)
                .append(' ')
                .append(HEIGHT)
                .append("\" role=\"img\" aria-label=\"")
                .append(name)
                .append("\">");
        for (int i = 0; i < chart.lines().size(); i++) {
            out.append("<polyline class=\"s").append(i % LINE_STYLES).append("\" points=\"");
            appendPoints(out, chart.lines().get(i).points(), max);
            out.append("\"/>");
        }
        out.append("</svg><ul class=\"legend\">");
        for (int i = 0; i < chart.lines().size(); i++) {
            out.append("<li class=\"s")
                    .append(i % LINE_STYLES)
                    .append("\">")
                    .append(HtmlRenderer.escape(chart.lines().get(i).name()))
                    .append("</li>");
        }
        out.append("</ul></figure>");
    }

    private static double maxValue(PageView.Chart chart) {
        double max =
                chart.lines().stream()
                        .flatMap(line -> line.points().stream())
                        .filter(Objects::nonNull)
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(1);
        return max <= 0 ? 1 : max;
    }

    private static void appendPoints(StringBuilder out, List<Double> points, double max) {
        int intervals = Math.max(1, points.size() - 1);
        for (int i = 0; i < points.size(); i++) {
            Double value = points.get(i);
            if (value != null) {
                double x = i * (double) WIDTH / intervals;
                double y = HEIGHT - MARGIN - value / max * (HEIGHT - 2 * MARGIN);
                out.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, y));
            }
        }
    }
}
