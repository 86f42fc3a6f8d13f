package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code undrain}: reverts {@code drain}. */
@Command(
        name = "undrain",
        mixinStandardHelpOptions = true,
        description = "Puts an initiator, or a target at it, back into service.")
public final class UndrainCommand extends DrainActionCommand {
    /** Creates the command; called by the command line's parser. */
    public UndrainCommand() {
        super("undrain");
    }
}
