package milletyoke.cli;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.Callable;
import milletyoke.cli.admin.DrainCommand;
import milletyoke.cli.admin.EventsCommand;
import milletyoke.cli.admin.StatusCommand;
import milletyoke.cli.admin.TargetsCommand;
import milletyoke.cli.admin.UndrainCommand;
import milletyoke.cli.admin.VolumesCommand;
import milletyoke.cli.configuration.ConfigCommand;
import milletyoke.cli.simulation.SimulateCommand;
import milletyoke.gateway.config.ConfigException;
import milletyoke.scenario.script.ScenarioFormatException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * Entry point of the command line. The exit code is 0 on success, 1 if the command failed, and 2 on
 * a usage error, an invalid or unreadable file, or a port in use.
 */
@Command(
        name = "milletyoke",
        mixinStandardHelpOptions = true,
        version = "milletyoke 0.2.0",
        description =
                "A storage gateway that schedules a host's reads and writes over storage nodes.",
        subcommands = {
            DemoCommand.class,
            ServeCommand.class,
            ArchiveTraining.class,
            InitiatorCommand.class,
            TargetCommand.class,
            DiscoveryCommand.class,
            LoadCommand.class,
            ScenarioCommand.class,
            RatesCommand.class,
            AuditCommand.class,
            CheckCommand.class,
            StatusCommand.class,
            TargetsCommand.class,
            VolumesCommand.class,
            EventsCommand.class,
            DrainCommand.class,
            UndrainCommand.class,
            TokenCommand.class,
            ConfigCommand.class,
            SimulateCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:failed",
            "2:usage error, invalid or unreadable file, or port in use"
        })
public final class Main implements Callable<Integer> {
    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            description =
                    "Format of the log on standard error: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Logging.Format logFormat;

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            defaultValue = "info",
            description = "Least severe level shown: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Logging.Threshold logLevel;

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider");
        if (args.length == 1
                && (args[0].equals(ServeCommand.NAME) || args[0].equals(ArchiveTraining.NAME))) {
            System.exit(runWithoutParser(args[0]));
        }
        Main main = new Main();
        CommandLine commandLine = new CommandLine(main);
        commandLine.setExecutionStrategy(
                parsed -> {
                    Logging.configure(main.logFormat, main.logLevel);
                    return new CommandLine.RunLast().execute(parsed);
                });
        commandLine.setExecutionExceptionHandler(
                (failure, command, parsed) -> reportFailure(failure));
        System.exit(commandLine.execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return ExitCode.USAGE;
    }

    /**
     * Runs a command without the command line parser, which alone accounts for half of the start-up
     * time and whose classes are not in the class archive. During a restart on a fraction of a
     * core, clients have no initiator for that time.
     */
    private static int runWithoutParser(String command) {
        Logging.configureSimpleLogger();
        try {
            return command.equals(ServeCommand.NAME)
                    ? new ServeCommand().runFromEnvironment()
                    : new ArchiveTraining().call();
        } catch (ConfigException invalid) {
            System.err.println("milletyoke: " + invalid.getMessage());
            return ExitCode.USAGE;
        } catch (Exception failed) {
            System.err.println("milletyoke: " + failed);
            return failed instanceof IOException ? ExitCode.USAGE : ExitCode.SOFTWARE;
        }
    }

    /** Prints a command's failure in one line, and a programming error with its stack trace. */
    private static int reportFailure(Exception failure) {
        boolean isUsageError = isUsageError(failure);
        if (isUsageError || failure instanceof IOException) {
            System.err.println("milletyoke: " + failure.getMessage());
        } else {
            System.err.println("milletyoke: " + failure);
            failure.printStackTrace();
        }
        return isUsageError || isPortInUse(failure) ? ExitCode.USAGE : ExitCode.SOFTWARE;
    }

    private static boolean isUsageError(Exception failure) {
        return failure instanceof ConfigException
                || failure instanceof ScenarioFormatException
                || failure instanceof IllegalArgumentException;
    }

    private static boolean isPortInUse(Exception failure) {
        return failure instanceof BindException || failure.getCause() instanceof BindException;
    }
}
