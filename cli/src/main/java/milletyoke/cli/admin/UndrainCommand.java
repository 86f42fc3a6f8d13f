package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code undrain}: reverts {@code drain}. */
@Command(
        name = "undrain",
        mixinStandardHelpOptions = true,
        description = "Puts an initiator, or one target at it, back into service.")
public final class UndrainCommand extends DrainActionCommand {
    /** Creates the command; called by picocli. */
    public UndrainCommand() {
        super("undrain");
    }
}
