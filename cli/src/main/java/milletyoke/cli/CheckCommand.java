package milletyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks an initiator's setup, or a script that ends in .day; a finding names file and line.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
        if (file.toString().endsWith(".day")) {
            Scenario day = ScenarioParser.read(file);
            System.out.printf(
                    "%s: %d initiators, %d targets, %d troubles: can be played%n",
                    file, day.initiators(), day.fleet().targets(), day.faults().size());
        } else {
            InitiatorConfig setup = InitiatorConfig.read(file);
            System.out.printf(
                    "%s: %s at %s, %d categories, %d plans: can be used%n",
                    file,
                    setup.name(),
                    setup.listen(),
                    setup.deployment().scheduler().requestClasses().size(),
                    setup.deployment().scheduler().plans().size());
        }
        return 0;
    }
}
