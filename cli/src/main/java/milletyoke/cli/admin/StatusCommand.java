package milletyoke.cli.admin;

import java.io.IOException;
import picocli.CommandLine.Command;

/** The command {@code status}: prints an initiator's overview. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints the state and the main metrics of an initiator.")
public final class StatusCommand extends ConsoleCommand {
    @Override
    public Integer call() throws IOException, InterruptedException {
        return request("GET", "overview");
    }
}
