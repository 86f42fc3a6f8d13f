package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code drain}: takes an initiator, or a target at it, out of service. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description =
                "Drains an initiator, or a target at it; pending requests are still finished.")
public final class DrainCommand extends DrainActionCommand {
    /** Creates the command; called by the command line's parser. */
    public DrainCommand() {
        super("drain");
    }
}
