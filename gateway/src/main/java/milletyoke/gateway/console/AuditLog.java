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
 * What operators did through the console: a line of JSON each, appended before the deed; the latest
 * kept in memory.
 */
final class AuditLog {
    private static final Logger LOG = LoggerFactory.getLogger(AuditLog.class);
    private static final int KEPT = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One deed. */
    record Deed(Instant at, String who, String what, String whom) {}

    private final Path file;
    private final ArrayDeque<Deed> latest = new ArrayDeque<>();

    /**
     * @param folder null keeps the journal in memory and the log only
     */
    AuditLog(Path folder) {
        file = folder == null ? null : folder.resolve("actions.jsonl");
    }

    /**
     * @throws IOException where it cannot be written: the deed must not be done then
     */
    synchronized void write(String who, String what, String whom) throws IOException {
        Deed deed = new Deed(Instant.now(), who, what, whom);
        if (file != null) {
            Map<String, String> line = new LinkedHashMap<>();
            line.put("at", deed.at().toString());
            line.put("who", who);
            line.put("what", what);
            line.put("whom", whom);
            Files.createDirectories(file.getParent());
            Files.write(
                    file,
                    (JSON.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND,
                    StandardOpenOption.DSYNC);
        }
        LOG.info("{} did {} {}", who, what, whom);
        latest.addLast(deed);
        if (latest.size() > KEPT) {
            latest.removeFirst();
        }
    }

    synchronized List<Deed> latest() {
        return new ArrayList<>(latest);
    }
}
