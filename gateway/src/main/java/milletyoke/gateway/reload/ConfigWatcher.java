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
 * Watches the configuration files while the initiator runs. Each check compares modification times,
 * reads a changed configuration completely, and applies it completely or not at all. Runs on the
 * initiator's side thread, never on the event loop's thread.
 */
public final class ConfigWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatcher.class);

    /** Maximum number of changes or errors of a version that are shown. */
    private static final int MAX_SHOWN = 20;

    private static final String SAVED_FILE_NAME = "fleet.in-force";
    private static final String TEMPORARY_FILE_NAME = "fleet.in-force.new";

    /** Modification time assumed for a file that cannot be read. */
    private static final FileTime NO_TIME = FileTime.fromMillis(0);

    /**
     * Status of the configuration.
     *
     * @param fleet the version in force
     * @param version number of the version in force, counted from 1 at the start
     * @param since when the version in force was applied
     * @param applied changes from the previous version to the version in force
     * @param rejectionReasons why the latest version was rejected; empty if it was applied
     * @param rejectedChanges changes that the rejected version would have made; empty if it was
     *     invalid
     * @param rejectedAt when the latest version was rejected; null if it was not
     */
    public record Status(
            Fleet fleet,
            int version,
            Instant since,
            List<String> applied,
            List<String> rejectionReasons,
            List<String> rejectedChanges,
            Instant rejectedAt) {
        private static Status initial(Fleet fleet) {
            return new Status(fleet, 1, Instant.now(), List.of(), List.of(), List.of(), null);
        }

        private Status withApplied(Fleet newFleet, List<String> changes) {
            return new Status(
                    newFleet, version + 1, Instant.now(), changes, List.of(), List.of(), null);
        }

        private Status withRejected(List<String> reasons, List<String> changes) {
            return new Status(fleet, version, since, applied, reasons, changes, Instant.now());
        }

        private Status withoutRejection() {
            return new Status(fleet, version, since, applied, List.of(), List.of(), null);
        }
    }

    private final String file;

    /** Where the version in force is saved; null if it is not saved. */
    private final Path savedFile;

    private final Consumer<Fleet> applier;
    private Map<String, FileTime> lastModificationTimes = new HashMap<>();
    private volatile Status status;

    /**
     * Creates a watcher of a configuration that is in force.
     *
     * @param file name of the main file, as the source provider returns it
     * @param folder where the version in force is saved; null if it is not saved
     * @param files files that the configuration was read from
     * @param applier applies a new version, possibly asynchronously
     */
    public ConfigWatcher(
            String file, Path folder, Fleet fleet, List<String> files, Consumer<Fleet> applier) {
        this.file = file;
        this.savedFile = folder == null ? null : folder.resolve(SAVED_FILE_NAME);
        this.applier = applier;
        status = Status.initial(fleet);
        // A file may have changed since it was read, so the first check reads all files again.
        files.forEach(name -> lastModificationTimes.put(name, NO_TIME));
        save(fleet);
    }

    /** Returns the current status. Any thread. */
    public Status status() {
        return status;
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

    /** Checks the files once, and applies or rejects a new version if there is one. */
    public void checkForChanges() {
        List<String> knownFiles = List.copyOf(lastModificationTimes.keySet());
        Map<String, FileTime> times = modificationTimes(knownFiles);
        if (times.equals(lastModificationTimes)) {
            return;
        }
        Checker.Result checked = Checker.check(new FileSourceProvider(), file);
        Map<String, FileTime> timesAfter =
                modificationTimes(checked.files().isEmpty() ? knownFiles : checked.files());
        times.keySet().retainAll(timesAfter.keySet());
        // A file that changed while it was read is read again at the next check.
        timesAfter.putAll(times);
        lastModificationTimes = timesAfter;
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
        ConfigUpdate update = ConfigUpdate.compare(status.fleet(), fleet);
        if (update instanceof ConfigUpdate.Rejected rejected) {
            reject(rejected.reasons(), rejected.changes());
        } else if (update instanceof ConfigUpdate.Apply apply) {
            apply(apply);
        } else if (!status.rejectionReasons().isEmpty()) {
            status = status.withoutRejection();
        }
    }

    private void apply(ConfigUpdate.Apply update) {
        List<String> changes = describe(update.changes());
        applier.accept(update.fleet());
        save(update.fleet());
        status = status.withApplied(update.fleet(), changes);
        LOG.info(
                "configuration applied file={} version={} changes={}",
                file,
                status.version(),
                changes);
    }

    private void reject(List<String> reasons, List<FleetDiff.Change> changes) {
        List<String> shownReasons = reasons.stream().limit(MAX_SHOWN).toList();
        status = status.withRejected(shownReasons, describe(changes));
        LOG.error(
                "configuration rejected file={} versionInForce={} reasons={}",
                file,
                status.version(),
                shownReasons);
    }

    private static List<String> describe(List<FleetDiff.Change> changes) {
        return changes.stream().map(FleetDiff.Change::text).limit(MAX_SHOWN).toList();
    }

    /** Saves the version in force, so that it can be read even after its source files changed. */
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
     * Returns the source provider's name of a file.
     *
     * @throws IOException if there is no such file
     */
    public static String name(Path path) throws IOException {
        try {
            return FileSourceProvider.name(path);
        } catch (SourceProvider.UnreadableSourceException missing) {
            throw new IOException(path + ": " + missing.getMessage());
        }
    }
}
