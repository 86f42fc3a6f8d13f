package milletyoke.gateway.reload;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
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
 * Watches the configuration's files in service: at each check it compares their times, reads a
 * changed configuration whole, and applies it or leaves everything as it was. Runs on the
 * initiator's side thread, never on the event loop's.
 */
public final class ConfigWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatcher.class);

    /** How many changes or errors of a version are shown. */
    private static final int MAX_SHOWN = 20;

    private static final String SAVED_FILE_NAME = "fleet.in-force";
    private static final String TEMPORARY_FILE_NAME = "fleet.in-force.new";

    /** Stands for the time of a file that cannot be read. */
    private static final FileTime NO_TIME = FileTime.fromMillis(0);

    /**
     * The state of the configuration.
     *
     * @param fleet the version in force
     * @param version counts the versions applied since the start, from 1
     * @param since when it was applied
     * @param applied its changes to the version before
     * @param refused what prevented the last version that was rejected; empty where the last one
     *     was applied
     * @param candidate what the rejected version would have changed, where it could be read
     * @param refusedAt when it was rejected; null where none was
     */
    public record Status(
            Fleet fleet,
            int version,
            Instant since,
            List<String> applied,
            List<String> refused,
            List<String> candidate,
            Instant refusedAt) {
        private static Status initial(Fleet fleet) {
            return new Status(fleet, 1, Instant.now(), List.of(), List.of(), List.of(), null);
        }

        private Status withApplied(Fleet newFleet, List<String> changes) {
            return new Status(
                    newFleet, version + 1, Instant.now(), changes, List.of(), List.of(), null);
        }

        private Status withRejected(List<String> why, List<String> changes) {
            return new Status(fleet, version, since, applied, why, changes, Instant.now());
        }

        private Status withoutRejection() {
            return new Status(fleet, version, since, applied, List.of(), List.of(), null);
        }
    }

    private final String file;

    /** Where the version in force is saved; null for nowhere. */
    private final Path savedFile;

    private final Consumer<Fleet> applier;
    private Map<String, FileTime> knownTimes = new HashMap<>();
    private volatile Status standing;

    /**
     * Creates a watcher of a configuration that is in force.
     *
     * @param file as the source provider names it
     * @param folder where the version in force is saved, null for nowhere
     * @param files the files that the configuration was read from
     * @param applier puts a new version into force, soon after the call
     */
    public ConfigWatcher(
            String file, Path folder, Fleet fleet, List<String> files, Consumer<Fleet> applier) {
        this.file = file;
        this.savedFile = folder == null ? null : folder.resolve(SAVED_FILE_NAME);
        this.applier = applier;
        standing = Status.initial(fleet);
        // A file may have changed since it was read: the first check reads all of them again.
        files.forEach(name -> knownTimes.put(name, NO_TIME));
        save(fleet);
    }

    /** The current status. Any thread. */
    public Status standing() {
        return standing;
    }

    private static Map<String, FileTime> modificationTimes(List<String> files) {
        Map<String, FileTime> times = new HashMap<>();
        for (String name : files) {
            times.put(name, modificationTime(name));
        }
        return times;
    }

    private static FileTime modificationTime(String file) {
        try {
            return Files.getLastModifiedTime(Path.of(file));
        } catch (IOException missing) {
            return NO_TIME;
        }
    }

    /** Checks the files once, and applies or rejects a new version where there is one. */
    public void checkForChanges() {
        List<String> knownFiles = List.copyOf(knownTimes.keySet());
        Map<String, FileTime> times = modificationTimes(knownFiles);
        if (times.equals(knownTimes)) {
            return;
        }
        Checker.Result checked = Checker.check(new FileSourceProvider(), file);
        Map<String, FileTime> timesAfter =
                modificationTimes(checked.files().isEmpty() ? knownFiles : checked.files());
        times.keySet().retainAll(timesAfter.keySet());
        timesAfter.putAll(times); // a file that changed while it was read is read again next time
        knownTimes = timesAfter;
        if (checked.isValid()) {
            update(checked.fleet());
        } else {
            reject(errors(checked), List.of());
        }
    }

    private static List<String> errors(Checker.Result checked) {
        return checked.diagnostics().stream()
                .filter(Diagnostic::isError)
                .map(Diagnostic::text)
                .toList();
    }

    private void update(Fleet fleet) {
        ConfigUpdate update = ConfigUpdate.judge(standing.fleet(), fleet);
        if (update instanceof ConfigUpdate.Rejected rejected) {
            reject(rejected.why(), rejected.changes());
        } else if (update instanceof ConfigUpdate.Apply apply) {
            apply(apply);
        } else if (!standing.refused().isEmpty()) {
            standing = standing.withoutRejection();
        }
    }

    private void apply(ConfigUpdate.Apply update) {
        List<String> changes = shown(update.changes());
        applier.accept(update.fleet());
        save(update.fleet());
        standing = standing.withApplied(update.fleet(), changes);
        LOG.info(
                "configuration applied file={} version={} changes={}",
                file,
                standing.version(),
                changes);
    }

    private void reject(List<String> why, List<FleetDiff.Change> changes) {
        List<String> reasons = why.stream().limit(MAX_SHOWN).toList();
        standing = standing.withRejected(reasons, shown(changes));
        LOG.error(
                "configuration rejected file={} versionInForce={} reasons={}",
                file,
                standing.version(),
                reasons);
    }

    private static List<String> shown(List<FleetDiff.Change> changes) {
        return changes.stream().map(FleetDiff.Change::text).limit(MAX_SHOWN).toList();
    }

    /** Saves the version in force, so that it stays readable whatever becomes of its files. */
    private void save(Fleet fleet) {
        if (savedFile == null) {
            return;
        }
        try {
            Path temporary = savedFile.resolveSibling(TEMPORARY_FILE_NAME);
            Files.createDirectories(savedFile.getParent());
            Files.write(temporary, fleet.show().getBytes(StandardCharsets.UTF_8));
            Files.move(
                    temporary,
                    savedFile,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException failed) {
            LOG.warn(
                    "configuration in force could not be saved file={} reason={}",
                    savedFile,
                    failed.getMessage());
        }
    }

    /**
     * The source provider's name of a file.
     *
     * @throws IOException where there is no such file
     */
    public static String name(Path path) throws IOException {
        try {
            return FileSourceProvider.name(path);
        } catch (SourceProvider.UnreadableSourceException missing) {
            throw new IOException(path + ": " + missing.getMessage());
        }
    }
}
