package milletyoke.gateway.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a setup file is read completely, or rejected with file, line and field. */
class InitiatorConfigTest {
    private static final String VALID_SETUP =
            """
            { // comments are allowed anywhere
              name: 'i1', listen: "127.0.0.1:0", discovery: "127.0.0.1:7300", folder: "state",
              deployment: {
                initiators: 3,
                categories: [{name: "read", repeats: "harmless", agreedTime: "400 ms", importance: 2}],
                plans: [{name: "basic", limitRate: 31, limitDepth: 36, limitSlack: 6}],
                bounds: {cold: "17 s", coldShare: .29, coldBears: 11, fall: "1 s", tipMultiple: 2},
              },
              transport: {connectTime: "250 ms"},
            }
            """;

    private static InitiatorConfig read(String text) throws ConfigException {
        return InitiatorConfig.of(SettingsReader.of("i.json5", text), Path.of("/base"));
    }

    @Test
    void readsJson5WithCommentsAndUnits() throws ConfigException {
        InitiatorConfig config = read(VALID_SETUP);
        assertEquals(
                400_000,
                config.deployment().scheduler().requestClasses().get(0).latencyObjectiveMicros());
        assertEquals(17_000_000, config.deployment().scheduler().limits().warmUpMicros());
        assertEquals(Path.of("/base/state"), config.stateDirectory());
        assertEquals(250_000, config.transport().connectTimeoutMicros());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "agreedTime: \"400 ms\"     | agreedTime: 400            | "
                        + "i.json5:5: deployment.categories[0].agreedTime: a time with its unit",
                "agreedTime: \"400 ms\"     | agreedTime: \"400 units\"  | "
                        + "i.json5:5: deployment.categories[0].agreedTime: a time with its unit",
                "repeats: \"harmless\"      | repeats: \"sometimes\"     | "
                        + "i.json5:5: deployment.categories[0].repeats: one of harmless, stamped, one-shot",
                "repeats: \"harmless\"      | repeats: \"stamped\"       | "
                        + "i.json5:5: deployment.categories[0].repeatWindow: a stamped category needs",
                "initiators: 3             | initiatorz: 3             | "
                        + "i.json5:3: deployment.initiators: is missing",
                "initiators: 3             | initiators: 2.5           | "
                        + "i.json5:4: deployment.initiators: a whole number",
                "initiators: 3             | initiators: \"3\"         | "
                        + "i.json5:4: deployment.initiators: a number is expected, not text",
                "limitDepth: 36,           |                           | "
                        + "i.json5:6: deployment.plans[0].limitDepth: a limit needs",
                "\"127.0.0.1:0\"           | \"127.0.0.1\"             | "
                        + "i.json5:2: listen: an address as",
                "coldShare: .29            | coldShare: 29             | "
                        + "i.json5:7: deployment.bounds.coldShare: 29 is out of range",
                "connectTime               | conectTime                | "
                        + "i.json5:9: transport.conectTime: unknown field; known fields are",
                "name: 'i1',               | name: 'i1', name: 'i2',   | "
                        + "i.json5:2: Duplicate field",
                "coldBears: 11,            | coldBears: 11             | " + "i.json5:7: ",
            })
    void rejectsWithLineAndField(String valid, String invalid, String message) {
        ConfigException error =
                assertThrows(
                        ConfigException.class,
                        () -> read(VALID_SETUP.replace(valid, invalid == null ? "" : invalid)));
        assertTrue(error.getMessage().startsWith(message), error.getMessage());
    }

    @Test
    void rejectsAMissingFile() {
        ConfigException error =
                assertThrows(
                        ConfigException.class,
                        () -> InitiatorConfig.read(Path.of("no-such-file.json5")));
        assertEquals("no-such-file.json5: there is no such file", error.getMessage());
    }
}
