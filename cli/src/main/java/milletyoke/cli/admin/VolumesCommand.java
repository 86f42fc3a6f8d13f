package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code volumes}: lists the volumes and what is left of their rate limits. */
@Command(
        name = "volumes",
        mixinStandardHelpOptions = true,
        description = "Lists the volumes and what is left of their rate limits.")
public final class VolumesCommand extends ListCommand {
    /** Creates the command; called by the command line's parser. */
    public VolumesCommand() {
        super("volumes");
    }
}
