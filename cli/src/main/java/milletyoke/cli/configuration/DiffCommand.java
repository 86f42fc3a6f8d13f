package milletyoke.cli.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.config.Checker;
import milletyoke.config.FleetDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code config diff}: prints the semantic differences of two configurations. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description =
                "Prints the semantic changes from OLD to NEW, whom each affects and how it is applied;"
                        + " exits with 1 if there are any.")
final class DiffCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Parameters(index = "0", paramLabel = "OLD")
    private Path oldFile;

    @Parameters(index = "1", paramLabel = "NEW")
    private Path newFile;

    @Option(names = "--json", description = "Print the changes as JSON.")
    private boolean json;

    @Override
    public Integer call() throws JsonProcessingException {
        Checker.Result before = FleetFiles.check(oldFile);
        Checker.Result after = FleetFiles.check(newFile);
        boolean isOldValid = FleetFiles.printErrors(before.diagnostics());
        boolean isNewValid = FleetFiles.printErrors(after.diagnostics());
        if (!isOldValid || !isNewValid) {
            return ExitCode.USAGE;
        }
        List<FleetDiff.Change> changes = FleetDiff.between(before.fleet(), after.fleet());
        if (json) {
            System.out.println(JSON.writeValueAsString(changes));
        } else {
            changes.forEach(change -> System.out.println(change.text()));
        }
        return changes.isEmpty() ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}
