package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.scenario.audit.Audit;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Parameters;

/** The command {@code audit}: checks a recording against the seven rules. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Checks a recording against the seven rules; 0 only if none was broken.")
final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "RECORDING")
    private Path recording;

    @Override
    public Integer call() throws IOException {
        Audit.Report report = Audit.audit(recording);
        System.out.print(report.text(true));
        return report.isClean() ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}
