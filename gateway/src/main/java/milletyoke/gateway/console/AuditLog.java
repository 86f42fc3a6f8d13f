package milletyoke.gateway.console;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Operators' actions through the console: one JSON object a line in a file, written before the
 * action is carried out. The latest are also kept in memory. Any thread may call this.
 */
final class AuditLog {
    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final String FILE_NAME = "actions.jsonl";
    private static final int MAX_IN_MEMORY = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One action. */
    record Entry(Instant at, String who, String what, String whom) {}

    private final Path file;
    private final ArrayDeque<Entry> latest = new ArrayDeque<>();

    /**
     * Creates the log; its file is created with the first action.
     *
     * @param directory null keeps actions in memory and in the daemon's log only
     */
    AuditLog(Path directory) {
        file = directory == null ? null : directory.resolve(FILE_NAME);
    }

    /**
     * Records an action, on disk when this returns.
     *
     * @throws IOException where it cannot be written: the action must then not be carried out
     */
    synchronized void write(String who, String what, String whom) throws IOException {
        Entry entry = new Entry(Instant.now(), who, what, whom);
        if (file != null) {
            append(entry);
        }
        LOG.info("operator action who={} what={} whom={}", who, what, whom);
        latest.addLast(entry);
        if (latest.size() > MAX_IN_MEMORY) {
            latest.removeFirst();
        }
    }

    private void append(Entry entry) throws IOException {
        Map<String, String> line = new LinkedHashMap<>();
        line.put("at", entry.at().toString());
        line.put("who", entry.who());
        line.put("what", entry.what());
        line.put("whom", entry.whom());
        Files.createDirectories(file.getParent());
        Files.write(
                file,
                (JSON.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND,
                StandardOpenOption.DSYNC);
    }

    /** The latest actions, oldest first. */
    synchronized List<Entry> latest() {
        return new ArrayList<>(latest);
    }
}
