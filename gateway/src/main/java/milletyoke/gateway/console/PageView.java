package milletyoke.gateway.console;

import java.util.List;
import java.util.Map;

/**
 * The content of one page. The names of the components, here and below, are keys of the console's
 * JSON.
 *
 * @param figures single values by name, in the order in which they are shown
 */
record PageView(String title, Map<String, Object> figures, List<Table> tables, List<Chart> charts) {

    /** Rows of a table that are shown at once. */
    static final int ROWS_PER_PAGE = 50;

    /**
     * A table or the shown part of it.
     *
     * @param total rows that there are for the viewer
     * @param page number of the shown part, from 0
     */
    record Table(String name, List<String> columns, List<List<Object>> rows, int total, int page) {

        /** The part of a table that a query asks for. */
        static Table part(
                String name, List<String> columns, List<List<Object>> rows, PageQuery query) {
            return new Table(
                    name,
                    columns,
                    List.copyOf(PageView.part(rows, query)),
                    rows.size(),
                    query.page());
        }

        /** The first part of a table. */
        static Table firstPart(String name, List<String> columns, List<List<Object>> rows) {
            return part(name, columns, rows, PageQuery.FIRST);
        }
    }

    /**
     * A line of a chart.
     *
     * @param points one a second, oldest first; null where nothing happened
     */
    record Line(String name, List<Double> points) {}

    /** A chart of the last seconds. */
    record Chart(String name, String unit, List<Line> lines) {}

    /** The part of all rows that a query asks for; empty beyond the end. */
    static <T> List<T> part(List<T> rows, PageQuery query) {
        int from = (int) Math.min(rows.size(), (long) query.page() * ROWS_PER_PAGE);
        int to = Math.min(rows.size(), from + ROWS_PER_PAGE);
        return rows.subList(from, to);
    }
}
