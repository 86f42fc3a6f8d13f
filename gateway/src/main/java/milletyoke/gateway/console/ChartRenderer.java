package milletyoke.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.Objects;

/** Renders charts as SVG. Stateless. */
final class ChartRenderer {
    private static final int WIDTH = 600;
    private static final int HEIGHT = 120;

    /** Kept free above and below the lines. */
    private static final int MARGIN = 2;

    /** The style sheet has so many line styles. */
    private static final int STYLES = 12;

    private ChartRenderer() {}

    static void render(StringBuilder out, PageView.Chart chart) {
        double max = max(chart);
        String name = HtmlRenderer.text(chart.name());
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
            out.append("<polyline class=\"s").append(i % STYLES).append("\" points=\"");
            points(out, chart.lines().get(i).points(), max);
            out.append("\"/>");
        }
        out.append("</svg><ul class=\"legend\">");
        for (int i = 0; i < chart.lines().size(); i++) {
            out.append("<li class=\"s")
                    .append(i % STYLES)
                    .append("\">")
                    .append(HtmlRenderer.text(chart.lines().get(i).name()))
                    .append("</li>");
        }
        out.append("</ul></figure>");
    }

    private static double max(PageView.Chart chart) {
        double max =
                chart.lines().stream()
                        .flatMap(line -> line.points().stream())
                        .filter(Objects::nonNull)
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(1);
        return max <= 0 ? 1 : max;
    }

    private static void points(StringBuilder out, List<Double> points, double max) {
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
