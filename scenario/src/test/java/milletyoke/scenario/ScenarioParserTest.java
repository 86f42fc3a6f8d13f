package milletyoke.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that valid scripts are accepted, and that errors in scripts are reported with their
 * location.
 */
class ScenarioParserTest {
    private static final String BASE = "category a share=1 agreed=1s abandon=2s\nplan p share=1\n";

    @Test
    void allScriptsAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("days"))) {
            List<Path> scripts = files.filter(file -> file.toString().endsWith(".day")).toList();
            for (Path file : scripts) {
                assertEquals(
                        file.getFileName().toString(), ScenarioParser.read(file).name() + ".day");
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at 2s hang 20%                  | for= is missing",
                "at 2 hang 20% for=1s            | expected a time such as 250ms, not 2",
                "at 2s hang 200% for=1s          | out of range",
                "at 2s hang 99 for=1s            | only 8 exist, there is no number 99",
                "at 2s explode 20% for=1s        | \"explode\" is not a fault type",
                "at 2s hang 20% for=1s fro=2s    | fro= is not an option here",
                "load 500 retries=1              | expected a number with the unit /s",
                "frobnicate                      | \"frobnicate\" is not a statement",
                "list late by=1s                 | \"late\" is not expected here",
                "at 1s list lost for=1s          | expected late, partial, unavailable or flap",
                "initiators 0                    | initiators must be 1 to 10000",
                "category b share=1 agreed=1s abandon=1s repeats=maybe | \"maybe\" is not a known value",
            })
    void reportsErrorsWithTheirLocation(String line, String expected) {
        ScenarioFormatException error =
                assertThrows(
                        ScenarioFormatException.class,
                        () -> ScenarioParser.read("x.day", "x", BASE + line));
        assertEquals(true, error.getMessage().contains(expected), error.getMessage());
        assertEquals(true, error.getMessage().startsWith("x.day:3: "), error.getMessage());
    }
}
