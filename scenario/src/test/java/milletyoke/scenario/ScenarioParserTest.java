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

/** The notation of bad days: what it takes, and what it says of what it does not. */
class ScenarioParserTest {
    private static final String BASE = "category a share=1 agreed=1s abandon=2s\nplan p share=1\n";

    @Test
    void everyScriptThatIsKeptCanBePlayed() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("days"))) {
            List<Path> all = files.filter(f -> f.toString().endsWith(".day")).toList();
            for (Path file : all) {
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
                "at 2 hang 20% for=1s            | a time as 250ms is expected, not 2",
                "at 2s hang 200% for=1s          | out of range",
                "at 2s hang 99 for=1s            | there are 8, none has number 99",
                "at 2s explode 20% for=1s        | \"explode\" is no trouble",
                "at 2s hang 20% for=1s fro=2s    | fro= is not known here",
                "load 500 retries=1              | a number with /s is expected",
                "frobnicate                      | \"frobnicate\" is no statement",
                "list late by=1s                 | \"late\" has no meaning here",
                "at 1s list lost for=1s          | late, partial, unavailable or flaps",
                "initiators 0                    | 1 to 10000 initiators",
                "category b share=1 agreed=1s abandon=1s repeats=maybe | \"maybe\" is not known",
            })
    void saysWhatIsWrongAndWhere(String line, String says) {
        ScenarioFormatException error =
                assertThrows(
                        ScenarioFormatException.class,
                        () -> ScenarioParser.read("x.day", "x", BASE + line));
        assertEquals(true, error.getMessage().contains(says), error.getMessage());
        assertEquals(true, error.getMessage().startsWith("x.day:3: "), error.getMessage());
    }
}
