package milletyoke.cli;

import java.util.HexFormat;
import java.util.concurrent.Callable;
import milletyoke.gateway.console.Tokens;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** The command {@code token}: creates an access token for the console. */
@Command(
        name = "token",
        mixinStandardHelpOptions = true,
        description =
                "Creates an access token for the console: prints the token on standard output"
                        + " and its entry for the token file on standard error.")
final class TokenCommand implements Callable<Integer> {
    /** The constants are the values of the option and of the token file. */
    enum Role {
        operator,
        viewer,
        tenant
    }

    @Option(
            names = "--name",
            required = true,
            description = "The token holder's name, for the audit log.")
    private String name;

    @Option(names = "--role", required = true, description = "One of ${COMPLETION-CANDIDATES}.")
    private Role role;

    @Option(
            names = "--volumes",
            description = "The tenant's volumes, separated by commas; a prefix ends in *.")
    private String volumes;

    @Override
    public Integer call() {
        if ((role == Role.tenant) == (volumes == null)) {
            throw new IllegalArgumentException(
                    "--volumes is required for the role tenant and not allowed for other roles");
        }
        if (hasQuotationMark(name) || hasQuotationMark(volumes)) {
            throw new IllegalArgumentException(
                    "--name and --volumes must not contain quotation marks");
        }
        String token = Tokens.make();
        System.out.println(token);
        System.err.printf(
                "{name: \"%s\", role: \"%s\", sha256: \"%s\"%s},%n",
                name,
                role,
                HexFormat.of().formatHex(Tokens.hash(token)),
                volumes == null ? "" : ", volumes: \"" + volumes + "\"");
        return ExitCode.OK;
    }

    private static boolean hasQuotationMark(String text) {
        return text != null && text.contains("\"");
    }
}
