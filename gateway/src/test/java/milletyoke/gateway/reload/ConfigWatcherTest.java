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

/** A version is taken whole or not at all, and what is not taken changes nothing. */
class ConfigWatcherTest {
    private static final String FIRST =
            "fleet { initiators 3; }\ninclude \"plans.fleet\";\n"
                    + "category read { repeats harmless; agreed 400ms; }\ncategory write { repeats one-shot; agreed 500ms; }\n";

    @TempDir Path folder;
    private final List<Fleet> applied = new ArrayList<>();
    private ConfigWatcher following;

    @BeforeEach
    void start() throws Exception {
        write("plans.fleet", "plan basic { limit-rate 40u/s; limit-depth 40u; }\n");
        Path main = write("main.fleet", FIRST);
        String name = ConfigWatcher.name(main);
        Checker.Result checked = Checker.check(new FileSourceProvider(), name);
        following =
                new ConfigWatcher(
                        name,
                        folder.resolve("state"),
                        checked.fleet(),
                        checked.files(),
                        applied::add);
        following.look();
        assertEquals(0, applied.size(), "the same as it was read");
    }

    private Path write(String file, String text) throws Exception {
        Path aside = folder.resolve(file + ".new");
        Files.writeString(aside, text);
        Path to = folder.resolve(file);
        Files.move(aside, to, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Thread.sleep(40); // it settles
        return to;
    }

    private double rate() {
        return FleetConverter.deployment(following.standing().fleet())
                .scheduler()
                .plans()
                .get(0)
                .limitRate();
    }

    @Test
    void aChangeInAnIncludedFileHolds() throws Exception {
        write("plans.fleet", "plan basic { limit-rate 30u/s; limit-depth 30u; }\n");
        following.look();
        assertEquals(1, applied.size());
        assertEquals(30, rate());
        assertEquals(2, following.standing().version());
        assertTrue(
                following
                        .standing()
                        .applied()
                        .contains("plan basic: limit-rate 40u/s -> 30u/s, 0 volumes  [in service]"),
                following.standing().applied().toString());
        String kept = Files.readString(folder.resolve("state/fleet.in-force"));
        assertTrue(kept.contains("limit-rate 30u/s;"), kept);
        following.look();
        assertEquals(1, applied.size(), "and once");
    }

    @Test
    void twoVersionsWithinASecondBothHold() throws Exception {
        for (int rate : new int[] {30, 20}) {
            write("plans.fleet", "plan basic { limit-rate " + rate + "u/s; limit-depth 30u; }\n");
            following.look();
        }
        assertEquals(2, applied.size());
        assertEquals(20, rate());
    }

    @Test
    void whatIsWrongIsRefusedWhole() throws Exception {
        write(
                "plans.fleet",
                "plan basic { limit-rate 30ms; limit-depth 30u; }\nplan extra { weight 2; }\n");
        following.look();
        assertEquals(0, applied.size());
        assertEquals(40, rate());
        assertTrue(
                following.standing().refused().get(0).contains("plans.fleet:1:25: error [unit]"),
                following.standing().refused().toString());
        write("plans.fleet", "plan basic { limit-rate 40u/s; limit-depth 40u; }\n");
        following.look();
        assertEquals(
                List.of(),
                following.standing().refused(),
                "put right, nothing is refused any more");
        assertEquals(0, applied.size());
    }

    @Test
    void whatNeedsARestartOrMayBeHeldIsRefusedWhole() throws Exception {
        write("main.fleet", FIRST.replace("initiators 3", "initiators 4"));
        write("plans.fleet", "plan basic { limit-rate 30u/s; limit-depth 30u; }\n");
        following.look();
        assertTrue(
                following.standing().refused().get(0).endsWith("needs a restart"),
                following.standing().refused().toString());
        assertEquals(
                3,
                following.standing().candidate().size(),
                "two figures of the plan and the initiators");
        write("main.fleet", FIRST.replaceAll("category write.*\n", ""));
        following.look();
        assertTrue(
                following.standing().refused().stream()
                        .anyMatch(r -> r.endsWith("accesses of it may be held")),
                following.standing().refused().toString());
        assertEquals(40, rate(), "the limit that stood beside it is not applied either");
        assertEquals(0, applied.size());
    }

    @Test
    void aFileThatIsGoneChangesNothing() throws Exception {
        Files.delete(folder.resolve("plans.fleet"));
        following.look();
        assertEquals(0, applied.size());
        assertTrue(
                following.standing().refused().get(0).contains("there is no such file"),
                following.standing().refused().toString());
    }

    @Test
    void whatIsConvertedMeansTheSame() throws Exception {
        DeploymentSettings d =
                DeploymentSettings.read(
                        SettingsReader.of(
                                "t",
                                "{initiators: 5, listMustBeAsked: true, categories: [{name: \"a b\","
                                        + " repeats: \"stamped\", group: \"zone\", repeatWindow: \"2500 ms\", keyOrdered: true, agreedTime: \"1.5 s\","
                                        + " importance: 0.7}], plans: [{name: \"p\", reserve: 9.6, weight: 2.5, limitRate: 31, limitDepth: 36,"
                                        + " limitSlack: 6}], bounds: {cold: \"17 s\", coldShare: 0.29, coldBears: 11, fall: \"1 s\", tipMultiple: 2,"
                                        + " relayBudgetFree: 10, relayBudgetShare: 0.1, relayBudgetSpan: \"2 s\"}}"));
        Path file = write("converted.fleet", FleetConverter.text(d));
        Checker.Result checked = Checker.check(new FileSourceProvider(), ConfigWatcher.name(file));
        assertTrue(checked.isValid(), checked.diagnostics().toString());
        assertEquals(d, FleetConverter.deployment(checked.fleet()));
    }

    @Test
    void aSetupNamesItsFile() throws Exception {
        String text =
                "{name: 'i', listen: '127.0.0.1:0', discovery: '127.0.0.1:1', fleet: 'main.fleet'}";
        InitiatorConfig setup = InitiatorConfig.of(SettingsReader.of("i.json5", text), folder);
        assertEquals(new Address("127.0.0.1", 0), setup.listen());
        assertEquals(2, setup.fleet().files().size());
        write("plans.fleet", "plan basic { weight 0; }\n");
        try {
            InitiatorConfig.of(SettingsReader.of("i.json5", text), folder);
            throw new AssertionError("it was taken");
        } catch (ConfigException told) {
            assertTrue(
                    told.getMessage().contains("plans.fleet:1:21: error [range]"),
                    told.getMessage());
        }
    }
}
