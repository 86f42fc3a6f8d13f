package milletyoke.cli.configuration;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.FleetConverter;
import milletyoke.gateway.config.InitiatorConfig;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Parameters;

/** The command {@code config convert}: converts a JSON5 configuration to the language. */
@Command(
        name = "convert",
        mixinStandardHelpOptions = true,
        description =
                "Prints the deployment of an initiator's JSON5 configuration in the configuration language.")
final class ConvertCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SETUP")
    private Path file;

    @Override
    public Integer call() throws ConfigException {
        System.out.print(FleetConverter.text(InitiatorConfig.read(file).deployment()));
        return ExitCode.OK;
    }
}
