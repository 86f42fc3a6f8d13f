package milletyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.gateway.setup.Setup;
import milletyoke.rehearsal.script.BadDay;
import milletyoke.rehearsal.script.Script;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks an initiator's setup, or a script that ends in .day; a finding names file and line.")
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
        if (file.toString().endsWith(".day")) {
            BadDay day = Script.read(file);
            System.out.printf(
                    "%s: %d initiators, %d targets, %d troubles: can be played%n",
                    file, day.initiators(), day.fleet().targets(), day.troubles().size());
        } else {
            Setup setup = Setup.read(file);
            System.out.printf(
                    "%s: %s at %s, %d categories, %d plans: can be used%n",
                    file,
                    setup.name(),
                    setup.listen(),
                    setup.deployment().provisioning().categories().size(),
                    setup.deployment().provisioning().plans().size());
        }
        return 0;
    }
}
