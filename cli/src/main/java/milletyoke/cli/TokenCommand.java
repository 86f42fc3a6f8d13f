package milletyoke.cli;

import java.util.HexFormat;
import java.util.concurrent.Callable;
import milletyoke.gateway.console.Tokens;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** The command {@code token}: makes an access token for the console. */
@Command(
        name = "token",
        mixinStandardHelpOptions = true,
        description =
                "Makes a token for the console: the token on standard output,"
                        + " its line for the token file on standard error.")
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
            description = "The holder's name, for the audit log.")
    private String name;

    @Option(names = "--role", required = true, description = "${COMPLETION-CANDIDATES}")
    private Role role;

    @Option(
            names = "--volumes",
            description = "A tenant's volumes, separated by commas; a prefix ends in *.")
    private String volumes;

    @Override
    public Integer call() {
        if ((role == Role.tenant) == (volumes == null)) {
            throw new IllegalArgumentException(
                    "--volumes goes with the role tenant, and that with --volumes");
        }
        if (hasQuotationMark(name) || hasQuotationMark(volumes)) {
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
        return ExitCode.OK;
    }

    private static boolean hasQuotationMark(String text) {
        return text != null && text.contains("\"");
    }
}
