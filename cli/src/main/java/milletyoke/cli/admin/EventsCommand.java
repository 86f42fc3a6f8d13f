package milletyoke.cli.admin;

import picocli.CommandLine.Command;

/** The command {@code events}: lists recent events, newest first. */
@Command(
        name = "events",
        mixinStandardHelpOptions = true,
        description = "Lists recent events, newest first.")
public final class EventsCommand extends ListCommand {
    /** Creates the command; called by picocli. */
    public EventsCommand() {
        super("events");
    }
}
