package milletyoke.cli.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code config check}: reports all errors and warnings of a configuration. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Reports all errors and warnings of a file and its includes; exits with 1 if there are errors.")
final class CheckFleetCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(names = "--json", description = "Print the diagnostics as JSON on standard output.")
    private boolean json;

    @Override
    public Integer call() throws JsonProcessingException {
        Checker.Result result = FleetFiles.check(file);
        if (json) {
            System.out.println(toJson(result));
        } else {
            FleetFiles.printDiagnostics(result.diagnostics());
            printSummary(result);
        }
        return result.isValid() ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private static void printSummary(Checker.Result result) {
        long errors = result.diagnostics().stream().filter(Diagnostic::isError).count();
        System.out.printf(
                "%d files, %d errors, %d warnings%n",
                result.files().size(), errors, result.diagnostics().size() - errors);
    }

    private static String toJson(Checker.Result result) throws JsonProcessingException {
        List<Map<String, Object>> findings =
                result.diagnostics().stream().map(CheckFleetCommand::toJsonObject).toList();
        return JSON.writeValueAsString(Map.of("clean", result.isValid(), "findings", findings));
    }

    private static Map<String, Object> toJsonObject(Diagnostic diagnostic) {
        return Map.of(
                "severity", diagnostic.isError() ? "error" : "warning",
                "code", diagnostic.code(),
                "file", diagnostic.file(),
                "line", diagnostic.line(),
                "column", diagnostic.column(),
                "message", diagnostic.message(),
                "hint", diagnostic.hint(),
                "chain", diagnostic.chain());
    }
}
