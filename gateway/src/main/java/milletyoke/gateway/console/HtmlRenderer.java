package milletyoke.gateway.console;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Pages as plain HTML: all of a view without any script; the script only renews it. */
final class HtmlRenderer {
    private static final int WIDE = 600, HIGH = 120;

    private HtmlRenderer() {}

    static String page(
            String page, PageModels.View view, AccessScope sight, String csrf, PageModels.Ask ask) {
        StringBuilder out = head(view.title());
        out.append("<header><strong>milletyoke</strong><nav aria-label=\"Pages\"><ul>");
        for (String name : PageModels.PAGES.keySet()) {
            out.append("<li><a href=\"/")
                    .append(name.equals("overview") ? "" : name)
                    .append('"')
                    .append(name.equals(page) ? " aria-current=\"page\"" : "")
                    .append('>')
                    .append(name)
                    .append("</a></li>");
        }
        out.append("</ul></nav><form method=\"post\" action=\"/logout\">")
                .append(hidden("csrf", csrf))
                .append("<button>leave, ")
                .append(text(sight.name()))
                .append("</button></form></header>")
                .append("<main id=\"view\" data-page=\"")
                .append(page)
                .append("\" data-find=\"")
                .append(text(ask.find()))
                .append("\" data-at=\"")
                .append(ask.page())
                .append("\"><h1>")
                .append(text(view.title()))
                .append("</h1>");
        if (sight.acts() && page.equals("overview")) {
            out.append(act("drain", "", "drain this initiator", csrf))
                    .append(act("undrain", "", "put it back", csrf));
        }
        if (page.equals("targets") || page.equals("volumes") || page.equals("events")) {
            out.append(
                            "<form method=\"get\" role=\"search\"><label>find <input name=\"find\" maxlength=\"100\" value=\"")
                    .append(text(ask.find()))
                    .append("\"></label> <button>find</button></form>");
        }
        body(out, page, view, sight, csrf, ask);
        return out.append(
                        "</main><p id=\"live\" role=\"status\"></p><script src=\"/static/console.js\"></script>"
                                + "</body></html>")
                .toString();
    }

    private static StringBuilder head(String title) {
        return new StringBuilder(
                        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(text(title))
                .append(
                        " - milletyoke</title><meta name=\"viewport\" content=\"width=device-width, "
                                + "initial-scale=1\"><link rel=\"stylesheet\" href=\"/static/console.css\"></head><body>");
    }

    private static void body(
            StringBuilder out,
            String page,
            PageModels.View view,
            AccessScope sight,
            String csrf,
            PageModels.Ask ask) {
        out.append("<dl id=\"figures\">");
        view.figures()
                .forEach(
                        (name, value) ->
                                out.append("<div><dt>")
                                        .append(text(name))
                                        .append("</dt><dd>")
                                        .append(text(String.valueOf(value)))
                                        .append("</dd></div>"));
        out.append("</dl>");
        for (PageModels.Chart chart : view.charts()) {
            chart(out, chart);
        }
        for (PageModels.Table table : view.tables()) {
            table(out, page, table, sight, csrf, ask);
        }
    }

    private static void table(
            StringBuilder out,
            String page,
            PageModels.Table table,
            AccessScope sight,
            String csrf,
            PageModels.Ask ask) {
        boolean acts = sight.acts() && page.equals("targets") && table.name().equals("targets");
        out.append("<div class=\"scroll\" tabindex=\"0\"><table><caption>")
                .append(text(table.name()))
                .append(" (")
                .append(table.total())
                .append(")</caption><thead><tr>");
        for (int c = 0; c < table.columns().size(); c++) {
            boolean number =
                    !table.rows().isEmpty() && table.rows().get(0).get(c) instanceof Number;
            out.append(number ? "<th scope=\"col\" class=\"n\">" : "<th scope=\"col\">")
                    .append(text(table.columns().get(c)))
                    .append("</th>");
        }
        out.append(acts ? "<th scope=\"col\">act</th>" : "")
                .append("</tr></thead><tbody data-table=\"")
                .append(text(table.name()))
                .append("\">");
        for (List<Object> row : table.rows()) {
            out.append("<tr>");
            row.forEach(
                    cell ->
                            out.append(cell instanceof Number ? "<td class=\"n\">" : "<td>")
                                    .append(text(String.valueOf(cell)))
                                    .append("</td>"));
            if (acts) {
                String id = String.valueOf(row.get(0));
                boolean here = "drained here".equals(row.get(1));
                out.append("<td>")
                        .append(
                                act(
                                        here ? "undrain-target" : "drain-target",
                                        id,
                                        here ? "put back" : "drain here",
                                        csrf))
                        .append("</td>");
            }
            out.append("</tr>");
        }
        out.append("</tbody></table></div>");
        if (table.total() > PageModels.ROWS && !table.rows().isEmpty() || table.page() > 0) {
            out.append("<p class=\"pages\">");
            link(out, page, ask, table.page() - 1, "earlier", table.page() > 0);
            link(
                    out,
                    page,
                    ask,
                    table.page() + 1,
                    "further",
                    (table.page() + 1) * PageModels.ROWS < table.total());
            out.append("</p>");
        }
    }

    private static void link(
            StringBuilder out,
            String page,
            PageModels.Ask ask,
            int to,
            String word,
            boolean there) {
        if (there) {
            out.append("<a href=\"/")
                    .append(page)
                    .append("?page=")
                    .append(to)
                    .append("&amp;find=")
                    .append(
                            java.net.URLEncoder.encode(
                                    ask.find(), java.nio.charset.StandardCharsets.UTF_8))
                    .append("\">")
                    .append(word)
                    .append("</a> ");
        }
    }

    private static void chart(StringBuilder out, PageModels.Chart chart) {
        double most =
                chart.lines().stream()
                        .flatMap(l -> l.points().stream())
                        .filter(java.util.Objects::nonNull)
                        .mapToDouble(d -> d)
                        .max()
                        .orElse(1);
        most = most <= 0 ? 1 : most;
        out.append("<figure data-chart=\"")
                .append(text(chart.name()))
                .append("\"><figcaption>")
                .append(text(chart.name()))
                .append(", up to ")
                .append(String.format(Locale.ROOT, "%.1f %s", most, chart.unit()))
                .append(", the last two minutes</figcaption><svg viewBox=\"0 0 ")
                .append(WIDE)
                .append(' ')
                .append(HIGH)
                .append("\" role=\"img\" aria-label=\"")
                .append(text(chart.name()))
                .append("\">");
        int at = 0;
        for (PageModels.Line line : chart.lines()) {
            out.append("<polyline class=\"s").append(at++ % 12).append("\" points=\"");
            int n = Math.max(1, line.points().size() - 1);
            for (int i = 0; i < line.points().size(); i++) {
                Double y = line.points().get(i);
                if (y != null) {
                    out.append(
                            String.format(
                                    Locale.ROOT,
                                    "%.1f,%.1f ",
                                    i * (double) WIDE / n,
                                    HIGH - 2 - y / most * (HIGH - 4)));
                }
            }
            out.append("\"/>");
        }
        out.append("</svg><ul class=\"legend\">");
        at = 0;
        for (PageModels.Line line : chart.lines()) {
            out.append("<li class=\"s")
                    .append(at++ % 12)
                    .append("\">")
                    .append(text(line.name()))
                    .append("</li>");
        }
        out.append("</ul></figure>");
    }

    private static String act(String what, String whom, String word, String csrf) {
        return "<form method=\"post\" action=\"/act\" class=\"act\">"
                + hidden("csrf", csrf)
                + hidden("what", what)
                + hidden("whom", whom)
                + "<button>"
                + text(word)
                + "</button></form>";
    }

    private static String hidden(String name, String value) {
        return "<input type=\"hidden\" name=\"" + name + "\" value=\"" + text(value) + "\">";
    }

    static String login(String said) {
        return head("Sign in")
                .append(
                        "<main><h1>milletyoke</h1><form method=\"post\" action=\"/login\"><label>token "
                                + "<input name=\"token\" type=\"password\" autocomplete=\"current-password\" maxlength=\"200\" required "
                                + "autofocus></label> <button>look</button></form><p role=\"alert\">")
                .append(text(said))
                .append("</p></main></body></html>")
                .toString();
    }

    static String problem(HttpProblemException problem) {
        return head(problem.title)
                .append("<main><h1>")
                .append(text(problem.title))
                .append("</h1><p>")
                .append(text(problem.getMessage()))
                .append("</p><p><a href=\"/\">overview</a></p></main></body></html>")
                .toString();
    }

    static Map<String, Object> problemBody(HttpProblemException problem) {
        Map<String, Object> body = new java.util.LinkedHashMap<>();
        body.put("type", "about:blank");
        body.put("title", problem.title);
        body.put("status", problem.status);
        body.put("detail", problem.getMessage());
        return body;
    }

    /** What a browser must not read as markup. */
    static String text(String raw) {
        StringBuilder out = new StringBuilder(raw.length() + 16);
        for (int i = 0; i < raw.length(); i++) {
            char c = raw.charAt(i);
            switch (c) {
                case '&' -> out.append("&amp;");
                case '<' -> out.append("&lt;");
                case '>' -> out.append("&gt;");
                case '"' -> out.append("&quot;");
                case '\'' -> out.append("&#39;");
                default -> out.append(c);
            }
        }
        return out.toString();
    }
}
