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
import java.util.Set;
import java.util.TreeSet;

/**
 * The results of an experiment in a file of JSON lines. Each row is flushed when it is added, so an
 * interrupted experiment can be resumed. Instances may be shared between threads.
 */
public final class ResultStore implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path file;
    private final Map<String, ResultRow> rows = new LinkedHashMap<>();
    private final BufferedWriter out;

    /**
     * Opens a new file or that of an earlier run. An incomplete last line is dropped.
     *
     * @throws IOException if the file cannot be read or a line before the last is not a row; the
     *     message names the line
     */
    public ResultStore(Path file) throws IOException {
        this.file = file;
        if (Files.exists(file)) {
            List<ResultRow> storedRows = read(file);
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
            Files.write(temporaryFile, storedRows.stream().map(ResultStore::jsonLine).toList());
            Files.move(
                    temporaryFile,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            storedRows.forEach(row -> rows.put(row.key(), row));
        }
        out = Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    /**
     * Reads the rows of a file without opening it for writing. An incomplete last line is left out.
     *
     * @throws IOException if the file cannot be read or a line before the last is not a row; the
     *     message names the line
     */
    public static List<ResultRow> read(Path file) throws IOException {
        String text = Files.readString(file, StandardCharsets.UTF_8);
        String[] lines = text.split("\n", -1);
        List<ResultRow> rows = new ArrayList<>();
        for (int i = 0; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            try {
                rows.add(JSON.readValue(lines[i], ResultRow.class));
            } catch (JsonProcessingException e) {
                if (i == lines.length - 1) {
                    break; // no newline follows: the write was interrupted
                }
                throw new IOException(
                        file + ":" + (i + 1) + ": invalid result row: " + e.getOriginalMessage());
            }
        }
        return rows;
    }

    private static String jsonLine(ResultRow row) {
        try {
            return JSON.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether the run with this key has a result. */
    public synchronized boolean has(String key) {
        return rows.containsKey(key);
    }

    /**
     * Adds a row and flushes it to the file.
     *
     * @throws IOException if the file cannot be written
     */
    public synchronized void add(ResultRow row) throws IOException {
        rows.put(row.key(), row);
        out.write(jsonLine(row));
        out.newLine();
        out.flush();
    }

    /** All rows, ordered by arm, value and seed. */
    public synchronized List<ResultRow> rows() {
        return rows.values().stream()
                .sorted(
                        Comparator.comparing(ResultRow::arm)
                                .thenComparing(ResultRow::value)
                                .thenComparingInt(ResultRow::seed))
                .toList();
    }

    /**
     * Writes all rows as a CSV file next to the results file.
     *
     * @return the file written
     * @throws IOException if the file cannot be written
     */
    public synchronized Path writeCsv() throws IOException {
        TreeSet<String> categories = new TreeSet<>();
        rows.values().forEach(row -> categories.addAll(row.categories().keySet()));
        List<String> lines = new ArrayList<>();
        lines.add(
                "arm,value,seed,service,"
                        + String.join(",", categories)
                        + (categories.isEmpty() ? "" : ",")
                        + "p50_ms,p99_ms,evenness,cold_used,asked,unfinished,digest,events,wall_us");
        for (ResultRow row : rows()) {
            lines.add(csvLine(row, categories));
        }
        Path csv =
                file.resolveSibling(
                        file.getFileName().toString().replaceAll("\\.jsonl$", "") + ".csv");
        Files.write(csv, lines);
        return csv;
    }

    private static String csvLine(ResultRow row, Set<String> categories) {
        List<String> cells = new ArrayList<>();
        cells.add(quoted(row.arm()));
        cells.add(quoted(row.value()));
        cells.add(Integer.toString(row.seed()));
        cells.add(decimal(row.service()));
        for (String category : categories) {
            Double service = row.categories().get(category);
            cells.add(service == null ? "" : decimal(service));
        }
        cells.add(decimal(row.p50()));
        cells.add(decimal(row.p99()));
        cells.add(decimal(row.evenness()));
        cells.add(decimal(row.coldUsed()));
        cells.add(Long.toString(row.asked()));
        cells.add(Long.toString(row.unfinished()));
        cells.add(row.digest());
        cells.add(Long.toString(row.events()));
        cells.add(Long.toString(row.wall()));
        return String.join(",", cells);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.6f", value);
    }

    private static String quoted(String text) {
        return text.matches("[^,\"\\n]*") ? text : "\"" + text.replace("\"", "\"\"") + "\"";
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
