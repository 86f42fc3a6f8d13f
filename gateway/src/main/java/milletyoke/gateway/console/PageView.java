package milletyoke.gateway.console;

import java.util.List;
import java.util.Map;

/**
 * The content of one page. The names of the components of this record and of the nested ones are
 * keys of the console's JSON.
 *
 * @param figures single values by name, in display order
 */
record PageView(String title, Map<String, Object> figures, List<Table> tables, List<Chart> charts) {

    /** Maximum number of rows in one part of a table. */
    static final int ROWS_PER_PAGE = 50;

    /**
     * A table or a part of it.
     *
     * @param total number of rows of the whole table that the viewer may see
     * @param page number of the part, from 0
     */
    record Table(String name, List<String> columns, List<List<Object>> rows, int total, int page) {

        /** Returns the part of a table that a query selects. */
        static Table part(
                String name, List<String> columns, List<List<Object>> rows, PageQuery query) {
            return new Table(
                    name,
                    columns,
                    List.copyOf(PageView.part(rows, query)),
                    rows.size(),
                    query.page());
        }

        /** Returns the first part of a table. */
        static Table firstPart(String name, List<String> columns, List<List<Object>> rows) {
            return part(name, columns, rows, PageQuery.FIRST);
        }
    }

    /**
     * A line of a chart.
     *
     * @param points one point per second, oldest first; null for a second without data
     */
    record Line(String name, List<Double> points) {}

    /** A line chart of the last two minutes. */
    record Chart(String name, String unit, List<Line> lines) {}

    /** Returns the part of the rows that a query selects; empty beyond the end. */
    static <T> List<T> part(List<T> rows, PageQuery query) {
        int from = (int) Math.min(rows.size(), (long) query.page() * ROWS_PER_PAGE);
        int to = Math.min(rows.size(), from + ROWS_PER_PAGE);
        return rows.subList(from, to);
    }
}
