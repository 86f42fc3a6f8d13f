package milletyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Parameters;

/**
 * The command {@code check}: validates an initiator's configuration or a scenario script without
 * running it.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Validates an initiator's configuration, or a scenario script whose name ends in .day;"
                        + " an error names the file and the line.")
final class CheckCommand implements Callable<Integer> {
    private static final String SCRIPT_SUFFIX = ".day";

    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws ConfigException, ScenarioFormatException {
        if (file.toString().endsWith(SCRIPT_SUFFIX)) {
            checkScenario();
        } else {
            checkConfig();
        }
        return ExitCode.OK;
    }

    private void checkScenario() throws ScenarioFormatException {
        Scenario scenario = ScenarioParser.read(file);
        System.out.printf(
                "%s: %d initiators, %d targets, %d faults: valid%n",
                file, scenario.initiators(), scenario.fleet().targets(), scenario.faults().size());
    }

    private void checkConfig() throws ConfigException {
        InitiatorConfig config = InitiatorConfig.read(file);
        System.out.printf(
                "%s: %s at %s, %d request classes, %d plans: valid%n",
                file,
                config.name(),
                config.listen(),
                config.deployment().scheduler().requestClasses().size(),
                config.deployment().scheduler().plans().size());
    }
}
