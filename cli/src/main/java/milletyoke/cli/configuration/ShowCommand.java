package milletyoke.cli.configuration;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.config.Checker;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Parameters;

/** The command {@code config show}: prints a configuration in its resolved, flat form. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints a configuration in its resolved, flat form.")
final class ShowCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() {
        Checker.Result result = FleetFiles.check(file);
        if (!FleetFiles.printDiagnostics(result.diagnostics())) {
            return ExitCode.SOFTWARE;
        }
        System.out.print(result.fleet().show());
        return ExitCode.OK;
    }
}
