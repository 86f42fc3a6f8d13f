package milletyoke.cli.admin;

import java.io.IOException;
import picocli.CommandLine.Option;

/** A command that prints one of the console's paged lists. */
abstract class ListCommand extends ConsoleCommand {
    private final String listPath;

    @Option(
            names = "--find",
            defaultValue = "",
            paramLabel = "TEXT",
            description = "Show only entries whose name contains this text.")
    private String find;

    @Option(
            names = "--page",
            defaultValue = "0",
            description = "Page number, from 0; a page has 50 entries.")
    private int page;

    ListCommand(String listPath) {
        this.listPath = listPath;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        return request("GET", listPath + "?find=" + urlEncode(find) + "&page=" + page);
    }
}
