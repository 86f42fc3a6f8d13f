package milletyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.scenario.audit.Audit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Judges a recording by the seven rules; 0 only if none was broken.")
final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "RECORDING")
    private Path recording;

    @Override
    public Integer call() throws Exception {
        Audit.Report report = Audit.audit(recording);
        System.out.print(report.text(true));
        return report.isClean() ? 0 : 1;
    }
}
