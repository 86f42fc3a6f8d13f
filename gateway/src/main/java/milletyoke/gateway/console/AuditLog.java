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
 * Records operators' actions through the console: one JSON object per line in a file, written
 * before the action is performed. The latest actions are also kept in memory. Thread-safe.
 */
final class AuditLog {
    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final String FILE_NAME = "actions.jsonl";
    private static final int MAX_IN_MEMORY = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * One action.
     *
     * @param operator name of the operator's token
     * @param subject the initiator or target that was acted on
     */
    record Entry(Instant at, String operator, String action, String subject) {}

    private final Path file;
    private final ArrayDeque<Entry> latest = new ArrayDeque<>();

    /**
     * Creates the log; its file is created with the first action.
     *
     * @param directory directory of the file; null keeps actions only in memory and in the daemon's
     *     log
     */
    AuditLog(Path directory) {
        file = directory == null ? null : directory.resolve(FILE_NAME);
    }

    /**
     * Records an action. The file has been synced to disk when this method returns.
     *
     * @throws IOException if it cannot be written; the action must then not be performed
     */
    synchronized void write(String operator, String action, String subject) throws IOException {
        Entry entry = new Entry(Instant.now(), operator, action, subject);
        if (file != null) {
            append(entry);
        }
        LOG.info("operator action who={} what={} whom={}", operator, action, subject);
        latest.addLast(entry);
        if (latest.size() > MAX_IN_MEMORY) {
            latest.removeFirst();
        }
    }

    private void append(Entry entry) throws IOException {
        Map<String, String> line = new LinkedHashMap<>();
        line.put("at", entry.at().toString());
        line.put("who", entry.operator());
        line.put("what", entry.action());
        line.put("whom", entry.subject());
        Files.createDirectories(file.getParent());
        Files.write(
                file,
                (JSON.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND,
                StandardOpenOption.DSYNC);
    }

    /** Returns the latest actions, oldest first. */
    synchronized List<Entry> latest() {
        return new ArrayList<>(latest);
    }
}
