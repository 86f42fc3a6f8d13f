package milletyoke.cli.configuration;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;

/** The command {@code config}; without a subcommand it prints its usage. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Works on files of the configuration language (docs/configuration.md).",
        subcommands = {
            CheckFleetCommand.class,
            FormatCommand.class,
            DiffCommand.class,
            ShowCommand.class,
            ConvertCommand.class
        })
public final class ConfigCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return ExitCode.USAGE;
    }
}
