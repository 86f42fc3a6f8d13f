package milletyoke.gateway.console;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/**
 * Renders one page as HTML that is complete without scripts; the script only updates it. For a
 * single use.
 */
final class HtmlRenderer {
    private static final Set<String> SEARCHABLE_PAGES =
            Set.of(PageModels.TARGETS, PageModels.VOLUMES, PageModels.EVENTS);

    private final String page;
    private final PageQuery query;
    private final String csrfToken;
    private final AccessScope scope;
    private final Set<String> pageNames;
    private StringBuilder out = new StringBuilder();

    /**
     * Creates the renderer of one page.
     *
     * @param csrfToken the secret of the viewer's session for the forms
     * @param pageNames names of all pages for the navigation
     */
    HtmlRenderer(
            String page,
            PageQuery query,
            String csrfToken,
            AccessScope scope,
            Set<String> pageNames) {
        this.page = page;
        this.query = query;
        this.csrfToken = csrfToken;
        this.scope = scope;
        this.pageNames = pageNames;
    }

    String render(PageView view) {
        out = startDocument(view.title());
        renderHeader();
        out.append("<main id=\"view\" data-page=\"")
                .append(page)
                .append("\" data-find=\"")
                .append(escape(query.find()))
                .append("\" data-at=\"")
                .append(query.page())
                .append("\"><h1>")
                .append(escape(view.title()))
                .append("</h1>");
        if (scope.canAct() && page.equals(PageModels.OVERVIEW)) {
            out.append(actionForm("drain", "", "drain this initiator"))
                    .append(actionForm("undrain", "", "put it back"));
        }
        if (SEARCHABLE_PAGES.contains(page)) {
            renderSearchForm();
        }
        renderBody(view);
        return out.append("</main><p id=\"live\" role=\"status\"></p>")
                .append("<script src=\"/static/console.js\"></script></body></html>")
                .toString();
    }

    private static StringBuilder startDocument(String title) {
        return new StringBuilder()
                .append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append(" - milletyoke</title><meta name=\"viewport\" ")
                .append("content=\"width=device-width, initial-scale=1\">")
                .append("<link rel=\"stylesheet\" href=\"/static/console.css\"></head><body>");
    }

    private void renderHeader() {
        out.append("<header><strong>milletyoke</strong><nav aria-label=\"Pages\"><ul>");
        for (String name : pageNames) {
            out.append("<li><a href=\"/")
                    .append(name.equals(PageModels.OVERVIEW) ? "" : name)
                    .append('"')
                    .append(name.equals(page) ? " aria-current=\"page\"" : "")
                    .append('>')
                    .append(name)
                    .append("</a></li>");
        }
        out.append("</ul></nav><form method=\"post\" action=\"/logout\">")
                .append(hiddenField("csrf", csrfToken))
                .append("<button>leave, ")
                .append(escape(scope.name()))
                .append("</button></form></header>");
    }

    private void renderSearchForm() {
        out.append("<form method=\"get\" role=\"search\"><label>find ")
                .append("<input name=\"find\" maxlength=\"100\" value=\"")
                .append(escape(query.find()))
                .append("\"></label> <button>find</button></form>");
    }

    private void renderBody(PageView view) {
        out.append("<dl id=\"figures\">");
        view.figures()
                .forEach(
                        (name, value) ->
                                out.append("<div><dt>")
                                        .append(escape(name))
                                        .append("</dt><dd>")
                                        .append(escape(String.valueOf(value)))
                                        .append("</dd></div>"));
        out.append("</dl>");
        for (PageView.Chart chart : view.charts()) {
            ChartRenderer.render(out, chart);
        }
        for (PageView.Table table : view.tables()) {
            renderTable(table);
        }
    }

    private void renderTable(PageView.Table table) {
        boolean hasActions =
                scope.canAct()
                        && page.equals(PageModels.TARGETS)
                        && table.name().equals(PageModels.TARGETS);
        out.append("<div class=\"scroll\" tabindex=\"0\"><table><caption>")
                .append(escape(table.name()))
                .append(" (")
                .append(table.total())
                .append(")</caption><thead><tr>");
        renderColumnHeaders(table);
        out.append(hasActions ? "<th scope=\"col\">act</th>" : "")
                .append("</tr></thead><tbody data-table=\"")
                .append(escape(table.name()))
                .append("\">");
        for (List<Object> row : table.rows()) {
            out.append("<tr>");
            row.forEach(this::renderCell);
            if (hasActions) {
                renderTargetAction(row);
            }
            out.append("</tr>");
        }
        out.append("</tbody></table></div>");
        renderPageLinks(table);
    }

    private void renderColumnHeaders(PageView.Table table) {
        for (int column = 0; column < table.columns().size(); column++) {
            boolean isNumber =
                    !table.rows().isEmpty() && table.rows().get(0).get(column) instanceof Number;
            out.append(isNumber ? "<th scope=\"col\" class=\"n\">" : "<th scope=\"col\">")
                    .append(escape(table.columns().get(column)))
                    .append("</th>");
        }
    }

    private void renderCell(Object value) {
        out.append(value instanceof Number ? "<td class=\"n\">" : "<td>")
                .append(escape(String.valueOf(value)))
                .append("</td>");
    }

    private void renderTargetAction(List<Object> row) {
        String target = String.valueOf(row.get(0));
        boolean isDrainedHere = "drained here".equals(row.get(1));
        String form =
                isDrainedHere
                        ? actionForm("undrain-target", target, "put back")
                        : actionForm("drain-target", target, "drain here");
        out.append("<td>").append(form).append("</td>");
    }

    private void renderPageLinks(PageView.Table table) {
        boolean hasSeveralPages = table.total() > PageView.ROWS_PER_PAGE && !table.rows().isEmpty();
        if (!hasSeveralPages && table.page() == 0) {
            return;
        }
        out.append("<p class=\"pages\">");
        if (table.page() > 0) {
            renderPageLink(table.page() - 1, "earlier");
        }
        if ((table.page() + 1) * PageView.ROWS_PER_PAGE < table.total()) {
            renderPageLink(table.page() + 1, "further");
        }
        out.append("</p>");
    }

    private void renderPageLink(int number, String label) {
        out.append("<a href=\"/")
                .append(page)
                .append("?page=")
                .append(number)
                .append("&amp;find=")
                .append(URLEncoder.encode(query.find(), StandardCharsets.UTF_8))
                .append("\">")
                .append(label)
                .append("</a> ");
    }

    private String actionForm(String action, String target, String label) {
        return "<form method=\"post\" action=\"/act\" class=\"act\">"
                + hiddenField("csrf", csrfToken)
                + hiddenField("what", action)
                + hiddenField("whom", target)
                + "<button>"
                + escape(label)
                + "</button></form>";
    }

    private static String hiddenField(String name, String value) {
        return "<input type=\"hidden\" name=\"" + name + "\" value=\"" + escape(value) + "\">";
    }

    /** Returns the sign-in page with a message, such as that the token was not valid. */
    static String loginPage(String message) {
        return startDocument("Sign in")
                .append("<main><h1>milletyoke</h1><form method=\"post\" action=\"/login\">")
                .append("<label>token <input name=\"token\" type=\"password\" ")
                .append("autocomplete=\"current-password\" maxlength=\"200\" required ")
                .append("autofocus></label> <button>look</button></form><p role=\"alert\">")
                .append(escape(message))
                .append("</p></main></body></html>")
                .toString();
    }

    /** Returns the page for an error. */
    static String problemPage(HttpProblemException problem) {
        return startDocument(problem.title())
                .append("<main><h1>")
                .append(escape(problem.title()))
                .append("</h1><p>")
                .append(escape(problem.getMessage()))
                .append("</p><p><a href=\"/\">overview</a></p></main></body></html>")
                .toString();
    }

    /** Escapes the characters that a browser could interpret as markup. */
    static String escape(String raw) {
        StringBuilder escaped = new StringBuilder(raw.length() + 16);
        for (int i = 0; i < raw.length(); i++) {
            char character = raw.charAt(i);
            switch (character) {
                case '&' -> escaped.append("&amp;");
                case '<' -> escaped.append("&lt;");
                case '>' -> escaped.append("&gt;");
                case '"' -> escaped.append("&quot;");
                case '\'' -> escaped.append("&#39;");
                default -> escaped.append(character);
            }
        }
        return escaped.toString();
    }
}
