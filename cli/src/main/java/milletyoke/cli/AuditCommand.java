package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.scenario.audit.Audit;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Parameters;

/** The command {@code audit}: checks a recording against the seven audit rules. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description =
                "Checks a recording against the seven audit rules; exits with 0 only if none is violated.")
final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "RECORDING", description = "File that --record wrote.")
    private Path recording;

    @Override
    public Integer call() throws IOException {
        Audit.Report report = Audit.audit(recording);
        System.out.print(report.text(true));
        return report.isClean() ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}
