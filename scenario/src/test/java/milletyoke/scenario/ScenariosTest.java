package milletyoke.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.ScenarioParser;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs some of the scenarios on sockets in full. The others are run by hand with `bin/milletyoke
 * rehearse`.
 */
@Timeout(120)
class ScenariosTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "overlap-hang-restart-kill",
                "overlap-list-roll-burst",
                "overlap-resets-errors-still",
                "list-unavailable",
                "give-up",
                "leave",
                "limits-change"
            })
    void keepsEveryRule(String name) throws Exception {
        Path recording = Files.createTempFile("milletyoke-day", ".recording");
        try {
            ScenarioRunner.ScenarioResult result;
            try (ScenarioRunner runner =
                    new ScenarioRunner(
                            ScenarioParser.read(Path.of("days", name + ".day")),
                            recording,
                            false)) {
                result = runner.run(line -> {});
            }
            Audit.Report report = Audit.audit(recording);
            assertTrue(report.isClean(), () -> report.text(true));
            assertTrue(report.rule(1).tested() > 1000, "too few requests were sent");
            assertEquals(0, result.unfinished());
            assertTrue(result.isShutdownClean());
        } finally {
            Files.delete(recording);
        }
    }
}
