package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code drain}: takes an initiator, or one target at it, out of service. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = "Drains an initiator, or one target at it; pending requests are completed.")
public final class DrainCommand extends DrainActionCommand {
    /** Creates the command; called by picocli. */
    public DrainCommand() {
        super("drain");
    }
}
