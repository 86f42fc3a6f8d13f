package milletyoke.cli.simulation;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** The command {@code simulate}; without a subcommand it prints its usage. */
@Command(
        name = "simulate",
        aliases = "lab",
        mixinStandardHelpOptions = true,
        subcommands = {
            PlayCommand.class,
            RunExperimentCommand.class,
            ReportCommand.class,
            SearchFaultsCommand.class,
            CompareSocketsCommand.class
        },
        description =
                "Runs scenarios in virtual time, with the same initiators and stand-ins but without sockets.")
public final class SimulateCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return ExitCode.USAGE;
    }
}
