package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code events}: lists recent events, the latest first. */
@Command(
        name = "events",
        mixinStandardHelpOptions = true,
        description = "Lists what happened, the latest first.")
public final class EventsCommand extends ListCommand {
    /** Creates the command; called by the command line's parser. */
    public EventsCommand() {
        super("events");
    }
}
