package milletyoke.gateway.reload;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import milletyoke.config.Fleet;
import milletyoke.config.FleetDiff;
import milletyoke.config.SourceProvider;
import milletyoke.config.disk.FileSourceProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the configuration's files in service: looks twice a second whether any of them changed,
 * checks the new version whole, and hands it on or leaves everything as it was. Runs on the side
 * thread, never on the loop.
 */
public final class ConfigWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatcher.class);
    private static final int TOLD = 20;

    /**
     * What there is to tell of it.
     *
     * @param version counts the versions applied since the start, from 1
     * @param candidate what that version would have changed, where it could be read
     * @param refused what stood in the way of the last version that was not taken; empty where it
     *     was
     */
    public record Status(
            Fleet fleet,
            int version,
            Instant since,
            List<String> applied,
            List<String> refused,
            List<String> candidate,
            Instant refusedAt) {}

    private final String file;
    private final Path kept;
    private final Consumer<Fleet> apply;
    private Map<String, FileTime> seen = new HashMap<>(); // by name, in no order that matters
    private volatile Status standing;

    /**
     * @param file as the library names it
     * @param folder where the version in force is kept, null for nowhere
     * @param apply hands a version on; it holds soon after
     */
    public ConfigWatcher(
            String file, Path folder, Fleet fleet, List<String> files, Consumer<Fleet> apply) {
        this.file = file;
        this.kept = folder == null ? null : folder.resolve("fleet.in-force");
        this.apply = apply;
        standing = new Status(fleet, 1, Instant.now(), List.of(), List.of(), List.of(), null);
        // Guards against a change between the reading and now: the first look checks anew whatever
        // the times are.
        files.forEach(f -> seen.put(f, FileTime.fromMillis(0)));
        keep(fleet);
    }

    public Status standing() {
        return standing;
    }

    private static Map<String, FileTime> times(List<String> files) {
        Map<String, FileTime> all = new HashMap<>();
        for (String f : files) {
            try {
                all.put(f, Files.getLastModifiedTime(Path.of(f)));
            } catch (IOException gone) {
                all.put(f, FileTime.fromMillis(0));
            }
        }
        return all;
    }

    /** One look. */
    public void look() {
        Map<String, FileTime> now = times(List.copyOf(seen.keySet()));
        if (now.equals(seen)) {
            return;
        }
        Checker.Result checked = Checker.check(new FileSourceProvider(), file);
        Map<String, FileTime> read =
                times(checked.files().isEmpty() ? List.copyOf(seen.keySet()) : checked.files());
        now.keySet().retainAll(read.keySet());
        read.putAll(now); // what changed since it was looked at is looked at again
        seen = read;
        if (!checked.isValid()) {
            refuse(
                    checked.diagnostics().stream()
                            .filter(Diagnostic::isError)
                            .map(Diagnostic::text)
                            .toList(),
                    List.of());
            return;
        }
        ConfigUpdate change = ConfigUpdate.judge(standing.fleet(), checked.fleet());
        if (change instanceof ConfigUpdate.Rejected r) {
            refuse(r.why(), r.changes());
        } else if (change instanceof ConfigUpdate.Apply a) {
            List<String> told =
                    a.changes().stream().map(FleetDiff.Change::text).limit(TOLD).toList();
            apply.accept(a.fleet());
            keep(a.fleet());
            standing =
                    new Status(
                            a.fleet(),
                            standing.version() + 1,
                            Instant.now(),
                            told,
                            List.of(),
                            List.of(),
                            null);
            LOG.info("version {} of {} holds: {}", standing.version(), file, told);
        } else if (!standing.refused().isEmpty()) {
            Status s = standing;
            standing =
                    new Status(
                            s.fleet(),
                            s.version(),
                            s.since(),
                            s.applied(),
                            List.of(),
                            List.of(),
                            null);
        }
    }

    private void refuse(List<String> why, List<FleetDiff.Change> changes) {
        List<String> told = new ArrayList<>(why.subList(0, Math.min(TOLD, why.size())));
        Status s = standing;
        standing =
                new Status(
                        s.fleet(),
                        s.version(),
                        s.since(),
                        s.applied(),
                        List.copyOf(told),
                        changes.stream().map(FleetDiff.Change::text).limit(TOLD).toList(),
                        Instant.now());
        LOG.error(
                "a new version of {} is refused, version {} stays in force: {}",
                file,
                s.version(),
                told);
    }

    /** The version in force stays readable beside the daemon, whatever becomes of its files. */
    private void keep(Fleet fleet) {
        if (kept == null) {
            return;
        }
        try {
            Path aside = kept.resolveSibling("fleet.in-force.new");
            Files.createDirectories(kept.getParent());
            Files.write(aside, fleet.show().getBytes(StandardCharsets.UTF_8));
            Files.move(
                    aside,
                    kept,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException failed) {
            LOG.warn("the version in force could not be kept in {}: {}", kept, failed.getMessage());
        }
    }

    /** The name that stands for a file. @throws IOException where there is none */
    public static String name(Path path) throws IOException {
        try {
            return FileSourceProvider.name(path);
        } catch (SourceProvider.UnreadableSourceException missing) {
            throw new IOException(path + ": " + missing.getMessage());
        }
    }
}
