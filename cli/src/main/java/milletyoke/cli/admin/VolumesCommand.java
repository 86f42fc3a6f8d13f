package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code volumes}: lists the volumes and the unused part of their rate limits. */
@Command(
        name = "volumes",
        mixinStandardHelpOptions = true,
        description = "Lists the volumes and the unused part of their rate limits.")
public final class VolumesCommand extends ListCommand {
    /** Creates the command; called by picocli. */
    public VolumesCommand() {
        super("volumes");
    }
}
