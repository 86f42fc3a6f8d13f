package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code targets}: lists the targets as an initiator sees them. */
@Command(
        name = "targets",
        mixinStandardHelpOptions = true,
        description = "Lists the targets as an initiator sees them.")
public final class TargetsCommand extends ListCommand {
    /** Creates the command; called by the command line's parser. */
    public TargetsCommand() {
        super("targets");
    }
}
