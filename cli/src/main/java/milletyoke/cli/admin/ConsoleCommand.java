package milletyoke.cli.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** Base of the console commands: their common options and request handling. */
abstract class ConsoleCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            names = "--console",
            defaultValue = "${env:MILLETYOKE_CONSOLE:-http://127.0.0.1:7480}",
            paramLabel = "URL",
            description = "URL of the console (${DEFAULT-VALUE}); or set MILLETYOKE_CONSOLE.")
    private String console;

    @Option(
            names = "--token-file",
            defaultValue = "${env:MILLETYOKE_TOKEN_FILE}",
            paramLabel = "FILE",
            description =
                    "File that contains the access token; or set MILLETYOKE_TOKEN_FILE,"
                            + " or MILLETYOKE_TOKEN to the token.")
    private Path tokenFile;

    @Option(names = "--json", description = "Print the reply as JSON, unchanged.")
    private boolean json;

    /**
     * Sends one request and prints the reply.
     *
     * @param path the path relative to the API's prefix, including the query
     * @return the command's exit code
     * @throws IOException if the token cannot be read or the console cannot be reached
     */
    final int request(String method, String path) throws IOException, InterruptedException {
        ConsoleReply reply = new ConsoleClient(console, readToken()).send(method, path);
        JsonNode body = JSON.readTree(reply.body().isEmpty() ? "{}" : reply.body());
        if (!reply.isSuccess()) {
            System.err.println(
                    "milletyoke: " + reply.status() + " " + body.path("detail").asText());
            return ExitCode.SOFTWARE;
        }
        if (json) {
            System.out.println(reply.body());
        } else {
            new PageModelPrinter(System.out).print(body);
        }
        return ExitCode.OK;
    }

    static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private String readToken() throws IOException {
        if (tokenFile != null) {
            return Files.readString(tokenFile).trim();
        }
        String token = System.getenv("MILLETYOKE_TOKEN");
        if (token == null) {
            throw new IllegalArgumentException(
                    "no access token: set --token-file, MILLETYOKE_TOKEN_FILE or MILLETYOKE_TOKEN");
        }
        return token;
    }
}
