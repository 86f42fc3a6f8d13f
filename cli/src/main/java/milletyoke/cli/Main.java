package milletyoke.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import milletyoke.gateway.config.ConfigException;
import milletyoke.scenario.script.ScenarioFormatException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * The command line. Ends with 0, with 1 where what was asked for failed, with 2 where it was asked
 * wrongly.
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
            AdminCommands.Status.class,
            AdminCommands.Targets.class,
            AdminCommands.Volumes.class,
            AdminCommands.Events.class,
            AdminCommands.Drain.class,
            AdminCommands.Undrain.class,
            TokenCommand.class,
            ConfigCommand.class,
            SimulationCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:done", "1:failed", "2:wrong use, or a file that cannot be used"})
public final class Main implements Callable<Integer> {
    @Option(
            names = "--log",
            scope = ScopeType.INHERIT,
            defaultValue = "text",
            description =
                    "Form of the log on standard error: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Logging.Form log;

    @Option(
            names = "--log-level",
            scope = ScopeType.INHERIT,
            defaultValue = "info",
            description = "Least serious lines shown: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Logging.Depth level;

    public static void main(String[] args) {
        System.setProperty("slf4j.internal.verbosity", "WARN");
        System.setProperty("slf4j.provider", "ch.qos.logback.classic.spi.LogbackServiceProvider");
        if (args.length == 1 && (args[0].equals("serve") || args[0].equals("practise"))) {
            System.exit(atOnce(args[0]));
        }
        Main main = new Main();
        CommandLine line = new CommandLine(main);
        line.setExecutionStrategy(
                parsed -> {
                    Logging.begin(main.log, main.level);
                    return new CommandLine.RunLast().execute(parsed);
                });
        line.setExecutionExceptionHandler(
                (failure, command, parsed) -> {
                    boolean wrongUse =
                            failure instanceof ConfigException
                                    || failure instanceof ScenarioFormatException
                                    || failure instanceof IllegalArgumentException;
                    boolean told = wrongUse || failure instanceof IOException;
                    System.err.println(
                            "milletyoke: " + (told ? failure.getMessage() : failure.toString()));
                    if (!told) {
                        failure.printStackTrace();
                    }
                    return wrongUse
                                    || failure instanceof java.net.BindException
                                    || failure.getCause() instanceof java.net.BindException
                            ? 2
                            : 1;
                });
        System.exit(line.execute(args));
    }

    /**
     * Without the command line's parser, which alone takes half of the time to start and whose
     * classes no archive holds. Guards the seconds after a restart on part of a core, in which
     * clients have nobody.
     */
    private static int atOnce(String command) {
        Logging.beginPlain();
        try {
            return command.equals("serve")
                    ? new ServeCommand().atOnce()
                    : new ArchiveTraining().call();
        } catch (ConfigException unusable) {
            System.err.println("milletyoke: " + unusable.getMessage());
            return 2;
        } catch (Exception failed) {
            System.err.println("milletyoke: " + failed);
            return failed instanceof IOException ? 2 : 1;
        }
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return 2;
    }
}
