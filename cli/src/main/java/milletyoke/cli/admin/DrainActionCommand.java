package milletyoke.cli.admin;

import java.io.IOException;
import picocli.CommandLine.Parameters;

/** A command that starts or ends the drain of an initiator, or of one target at that initiator. */
abstract class DrainActionCommand extends ConsoleCommand {
    private final String action;

    @Parameters(
            arity = "0..1",
            paramLabel = "TARGET",
            description =
                    "Target that this initiator drains or undrains; by default the initiator itself.")
    private String target;

    DrainActionCommand(String action) {
        this.action = action;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        String path = target == null ? action : "targets/" + urlEncode(target) + "/" + action;
        return request("POST", path);
    }
}
