package milletyoke.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints a console page as text: its metrics, its tables and the result of an action. */
final class PageModelPrinter {
    private static final int COLUMN_GAP = 2;

    private final PrintStream out;

    PageModelPrinter(PrintStream out) {
        this.out = out;
    }

    void print(JsonNode page) {
        page.path("figures")
                .fields()
                .forEachRemaining(
                        metric ->
                                out.printf(
                                        "%-28s %s%n", metric.getKey(), metric.getValue().asText()));
        for (JsonNode table : page.path("tables")) {
            printTable(table);
        }
        if (page.has("done")) {
            out.println("done: " + page.path("done").asText());
        }
    }

    private void printTable(JsonNode table) {
        out.printf("%n%s (%d)%n", table.path("name").asText(), table.path("total").asInt());
        List<List<String>> rows = new ArrayList<>();
        rows.add(cells(table.path("columns")));
        table.path("rows").forEach(row -> rows.add(cells(row)));
        int[] widths = columnWidths(rows);
        for (List<String> row : rows) {
            out.println(formatRow(row, widths));
        }
    }

    private static List<String> cells(JsonNode row) {
        List<String> cells = new ArrayList<>();
        row.forEach(cell -> cells.add(cell.asText()));
        return cells;
    }

    /** Returns the width of the widest cell per column. The header, row 0, has every column. */
    private static int[] columnWidths(List<List<String>> rows) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static String formatRow(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String format = "%-" + (widths[column] + COLUMN_GAP) + "s";
            line.append(String.format(format, row.get(column)));
        }
        return line.toString().stripTrailing();
    }
}
