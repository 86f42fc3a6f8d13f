package milletyoke.simulation.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * Rows in a file of JSON lines, one a line, each flushed as it comes: what a kill leaves can be
 * gone on with.
 */
public final class ResultStore implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path file;
    private final Map<String, ResultRow> rows = new LinkedHashMap<>();
    private final BufferedWriter out;

    /**
     * Opens a file, new or as an earlier run left it. A last line that a kill cut off is dropped.
     *
     * @throws IOException where it cannot be read, or a line before the last is no row; the message
     *     names it
     */
    public ResultStore(Path file) throws IOException {
        this.file = file;
        if (Files.exists(file)) {
            List<ResultRow> kept = read(file);
            Path aside = file.resolveSibling(file.getFileName() + ".new");
            Files.write(aside, kept.stream().map(ResultStore::line).toList());
            Files.move(
                    aside,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            kept.forEach(r -> rows.put(r.key(), r));
        }
        out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    public static List<ResultRow> read(Path file) throws IOException {
        String text = Files.readString(file, StandardCharsets.UTF_8);
        String[] lines = text.split("\n", -1);
        List<ResultRow> rows = new ArrayList<>();
        for (int n = 0; n < lines.length; n++) {
            if (lines[n].isBlank()) {
                continue;
            }
            try {
                rows.add(JSON.readValue(lines[n], ResultRow.class));
            } catch (JsonProcessingException bad) {
                if (n == lines.length - 1) {
                    break; // no newline behind it: it was being written
                }
                throw new IOException(
                        file
                                + ":"
                                + (n + 1)
                                + ": not a row of results: "
                                + bad.getOriginalMessage());
            }
        }
        return rows;
    }

    private static String line(ResultRow row) {
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    public synchronized boolean has(String key) {
        return rows.containsKey(key);
    }

    public synchronized void add(ResultRow row) throws IOException {
        rows.put(row.key(), row);
        out.write(line(row));
        out.newLine();
        out.flush();
    }

    /** All rows, by arm, value and seed. */
    public synchronized List<ResultRow> rows() {
        return rows.values().stream()
                .sorted(
                        Comparator.comparing(ResultRow::arm)
                                .thenComparing(ResultRow::value)
                                .thenComparingInt(ResultRow::seed))
                .toList();
    }

    /** The same as a table for a spreadsheet, beside the lines. */
    public synchronized Path writeCsv() throws IOException {
        TreeSet<String> categories = new TreeSet<>();
        rows.values().forEach(r -> categories.addAll(r.categories().keySet()));
        List<String> lines = new ArrayList<>();
        lines.add(
                "arm,value,seed,service,"
                        + String.join(",", categories)
                        + (categories.isEmpty() ? "" : ",")
                        + "p50_ms,p99_ms,evenness,cold_used,asked,unfinished,digest,events,wall_us");
        for (ResultRow r : rows()) {
            StringBuilder line =
                    new StringBuilder(
                            quoted(r.arm())
                                    + ","
                                    + quoted(r.value())
                                    + ","
                                    + r.seed()
                                    + ","
                                    + figure(r.service()));
            categories.forEach(
                    c ->
                            line.append(',')
                                    .append(
                                            r.categories().containsKey(c)
                                                    ? figure(r.categories().get(c))
                                                    : ""));
            line.append(',')
                    .append(figure(r.p50()))
                    .append(',')
                    .append(figure(r.p99()))
                    .append(',')
                    .append(figure(r.evenness()))
                    .append(',')
                    .append(figure(r.coldUsed()))
                    .append(',')
                    .append(r.asked())
                    .append(',')
                    .append(r.unfinished())
                    .append(',')
                    .append(r.digest())
                    .append(',')
                    .append(r.events())
                    .append(',')
                    .append(r.wall());
            lines.add(line.toString());
        }
        Path csv =
                file.resolveSibling(
                        file.getFileName().toString().replaceAll("\\.jsonl$", "") + ".csv");
        Files.write(csv, lines);
        return csv;
    }

    private static String figure(double figure) {
        return String.format(Locale.ROOT, "%.6f", figure);
    }

    private static String quoted(String text) {
        return text.matches("[^,\"\\n]*") ? text : "\"" + text.replace("\"", "\"\"") + "\"";
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
