package milletyoke.gateway.reload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Checker;
import milletyoke.config.Fleet;
import milletyoke.config.disk.FileSourceProvider;
import milletyoke.gateway.config.Address;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.DeploymentSettings;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.config.SettingsReader;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a version is applied completely or not at all, and that a rejected version changes
 * nothing.
 */
class ConfigWatcherTest {
    private static final String FIRST =
            "fleet { initiators 3; }\ninclude \"plans.fleet\";\n"
                    + "category read { repeats harmless; agreed 400ms; }\n"
                    + "category write { repeats one-shot; agreed 500ms; }\n";

    private static final String CONVERTED_SETTINGS =
            """
            {
              initiators: 5, listMustBeAsked: true,
              categories: [{
                name: "a b", repeats: "stamped", group: "zone", repeatWindow: "2500 ms",
                keyOrdered: true, agreedTime: "1.5 s", importance: 0.7
              }],
              plans: [{
                name: "p", reserve: 9.6, weight: 2.5,
                limitRate: 31, limitDepth: 36, limitSlack: 6
              }],
              bounds: {
                cold: "17 s", coldShare: 0.29, coldBears: 11, fall: "1 s", tipMultiple: 2,
                relayBudgetFree: 10, relayBudgetShare: 0.1, relayBudgetSpan: "2 s"
              }
            }
            """;

    @TempDir Path folder;
    private final List<Fleet> applied = new ArrayList<>();
    private ConfigWatcher watcher;

    @BeforeEach
    void start() throws Exception {
        write("plans.fleet", "plan basic { limit-rate 40u/s; limit-depth 40u; }\n");
        Path main = write("main.fleet", FIRST);
        String name = ConfigWatcher.name(main);
        Checker.Result checked = Checker.check(new FileSourceProvider(), name);
        watcher =
                new ConfigWatcher(
                        name,
                        folder.resolve("state"),
                        checked.fleet(),
                        checked.files(),
                        applied::add);
        watcher.checkForChanges();
        assertEquals(0, applied.size(), "an unchanged configuration must not be applied");
    }

    private Path write(String file, String text) throws Exception {
        Path temporary = folder.resolve(file + ".new");
        Files.writeString(temporary, text);
        Path destination = folder.resolve(file);
        Files.move(temporary, destination, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Thread.sleep(40); // gives the next change a later modification time
        return destination;
    }

    private double rate() {
        return FleetConverter.deployment(watcher.status().fleet())
                .scheduler()
                .plans()
                .get(0)
                .limitRate();
    }

    @Test
    void changeInIncludedFileIsApplied() throws Exception {
        write("plans.fleet", "plan basic { limit-rate 30u/s; limit-depth 30u; }\n");
        watcher.checkForChanges();
        assertEquals(1, applied.size());
        assertEquals(30, rate());
        assertEquals(2, watcher.status().version());
        assertTrue(
                watcher.status()
                        .applied()
                        .contains("plan basic: limit-rate 40u/s -> 30u/s, 0 volumes  [in service]"),
                watcher.status().applied().toString());
        String saved = Files.readString(folder.resolve("state/fleet.in-force"));
        assertTrue(saved.contains("limit-rate 30u/s;"), saved);
        watcher.checkForChanges();
        assertEquals(1, applied.size(), "the change must be applied only once");
    }

    @Test
    void twoVersionsWithinASecondAreBothApplied() throws Exception {
        for (int rate : new int[] {30, 20}) {
            write("plans.fleet", "plan basic { limit-rate " + rate + "u/s; limit-depth 30u; }\n");
            watcher.checkForChanges();
        }
        assertEquals(2, applied.size());
        assertEquals(20, rate());
    }

    @Test
    void invalidVersionIsRejectedWhole() throws Exception {
        write(
                "plans.fleet",
                "plan basic { limit-rate 30ms; limit-depth 30u; }\nplan extra { weight 2; }\n");
        watcher.checkForChanges();
        assertEquals(0, applied.size());
        assertEquals(40, rate());
        assertTrue(
                watcher.status()
                        .rejectionReasons()
                        .get(0)
                        .contains("plans.fleet:1:25: error [unit]"),
                watcher.status().rejectionReasons().toString());
        write("plans.fleet", "plan basic { limit-rate 40u/s; limit-depth 40u; }\n");
        watcher.checkForChanges();
        assertEquals(
                List.of(),
                watcher.status().rejectionReasons(),
                "the reasons are cleared once the file is corrected");
        assertEquals(0, applied.size());
    }

    @Test
    void versionThatNeedsARestartIsRejectedWhole() throws Exception {
        write("main.fleet", FIRST.replace("initiators 3", "initiators 4"));
        write("plans.fleet", "plan basic { limit-rate 30u/s; limit-depth 30u; }\n");
        watcher.checkForChanges();
        assertTrue(
                watcher.status().rejectionReasons().get(0).endsWith("needs a restart"),
                watcher.status().rejectionReasons().toString());
        assertEquals(
                3,
                watcher.status().rejectedChanges().size(),
                "two settings of the plan and the number of initiators");
        write("main.fleet", FIRST.replaceAll("category write.*\n", ""));
        watcher.checkForChanges();
        assertTrue(
                watcher.status().rejectionReasons().stream()
                        .anyMatch(
                                reason ->
                                        reason.endsWith(
                                                "cannot be removed, requests of it may be pending")),
                watcher.status().rejectionReasons().toString());
        assertEquals(
                40, rate(), "the limit changed in the same version must not be applied either");
        assertEquals(0, applied.size());
    }

    @Test
    void missingFileChangesNothing() throws Exception {
        Files.delete(folder.resolve("plans.fleet"));
        watcher.checkForChanges();
        assertEquals(0, applied.size());
        assertTrue(
                watcher.status().rejectionReasons().get(0).contains("there is no such file"),
                watcher.status().rejectionReasons().toString());
    }

    @Test
    void convertedSettingsMeanTheSame() throws Exception {
        DeploymentSettings settings =
                DeploymentSettings.read(SettingsReader.of("t", CONVERTED_SETTINGS));
        Path file = write("converted.fleet", FleetConverter.text(settings));
        Checker.Result checked = Checker.check(new FileSourceProvider(), ConfigWatcher.name(file));
        assertTrue(checked.isValid(), checked.diagnostics().toString());
        assertEquals(settings, FleetConverter.deployment(checked.fleet()));
    }

    @Test
    void configurationNamesItsFleetFile() throws Exception {
        String text =
                "{name: 'i', listen: '127.0.0.1:0', discovery: '127.0.0.1:1', fleet: 'main.fleet'}";
        InitiatorConfig config = InitiatorConfig.of(SettingsReader.of("i.json5", text), folder);
        assertEquals(new Address("127.0.0.1", 0), config.listen());
        assertEquals(2, config.fleet().files().size());
        write("plans.fleet", "plan basic { weight 0; }\n");
        try {
            InitiatorConfig.of(SettingsReader.of("i.json5", text), folder);
            throw new AssertionError("an invalid fleet file was accepted");
        } catch (ConfigException rejected) {
            assertTrue(
                    rejected.getMessage().contains("plans.fleet:1:21: error [range]"),
                    rejected.getMessage());
        }
    }
}
