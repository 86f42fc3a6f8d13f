package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code targets}: lists an initiator's targets and their state there. */
@Command(
        name = "targets",
        mixinStandardHelpOptions = true,
        description = "Lists an initiator's targets and their state there.")
public final class TargetsCommand extends ListCommand {
    /** Creates the command; called by picocli. */
    public TargetsCommand() {
        super("targets");
    }
}
