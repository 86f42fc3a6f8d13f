package milletyoke.cli;

import java.util.HexFormat;
import java.util.concurrent.Callable;
import milletyoke.gateway.console.Tokens;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "token",
        mixinStandardHelpOptions = true,
        description =
                "Makes a token for the console: the token on standard output, its line for the file on standard error.")
final class TokenCommand implements Callable<Integer> {
    enum Role {
        operator,
        viewer,
        tenant
    }

    @Option(
            names = "--name",
            required = true,
            description = "Whose it is, for the journal of actions.")
    private String name;

    @Option(names = "--role", required = true, description = "${COMPLETION-CANDIDATES}")
    private Role role;

    @Option(
            names = "--volumes",
            description = "Of a tenant: its volumes, with commas; a prefix ends in *.")
    private String volumes;

    @Override
    public Integer call() {
        if ((role == Role.tenant) == (volumes == null)) {
            throw new IllegalArgumentException(
                    "--volumes goes with the role tenant, and that with --volumes");
        }
        if (name.contains("\"") || volumes != null && volumes.contains("\"")) {
            throw new IllegalArgumentException("no quotation marks in names, please");
        }
        String token = Tokens.make();
        System.out.println(token);
        System.err.printf(
                "{name: \"%s\", role: \"%s\", sha256: \"%s\"%s},%n",
                name,
                role,
                HexFormat.of().formatHex(Tokens.hash(token)),
                volumes == null ? "" : ", volumes: \"" + volumes + "\"");
        return 0;
    }
}
