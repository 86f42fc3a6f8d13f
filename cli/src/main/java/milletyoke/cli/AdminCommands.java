package milletyoke.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that ask a running initiator through its console. */
abstract class AdminCommands implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            names = "--console",
            defaultValue = "${env:MILLETYOKE_CONSOLE:-http://127.0.0.1:7480}",
            paramLabel = "URL",
            description = "The console to ask (${DEFAULT-VALUE}); or MILLETYOKE_CONSOLE.")
    private String console;

    @Option(
            names = "--token-file",
            defaultValue = "${env:MILLETYOKE_TOKEN_FILE}",
            paramLabel = "FILE",
            description =
                    "A file that holds the token; or MILLETYOKE_TOKEN_FILE, or MILLETYOKE_TOKEN itself.")
    private Path tokenFile;

    @Option(names = "--json", description = "Print the answer as it came.")
    private boolean json;

    private String token() throws IOException {
        if (tokenFile != null) {
            return Files.readString(tokenFile).trim();
        }
        String token = System.getenv("MILLETYOKE_TOKEN");
        if (token == null) {
            throw new IllegalArgumentException(
                    "no token: give --token-file, MILLETYOKE_TOKEN_FILE or MILLETYOKE_TOKEN");
        }
        return token;
    }

    static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    final int ask(String method, String path) throws Exception {
        HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(console.replaceAll("/+$", "") + "/api/v1/" + path))
                        .timeout(Duration.ofSeconds(10))
                        .header("Authorization", "Bearer " + token())
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        HttpResponse<String> answer;
        try {
            answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException unreachable) {
            throw new IOException(
                    "the console at " + console + " cannot be asked: " + unreachable, unreachable);
        }
        JsonNode body = JSON.readTree(answer.body().isEmpty() ? "{}" : answer.body());
        if (answer.statusCode() >= 300) {
            System.err.println(
                    "milletyoke: " + answer.statusCode() + " " + body.path("detail").asText());
            return 1;
        }
        if (json) {
            System.out.println(answer.body());
        } else {
            print(body);
        }
        return 0;
    }

    private static void print(JsonNode view) {
        view.path("figures")
                .fields()
                .forEachRemaining(
                        f -> System.out.printf("%-28s %s%n", f.getKey(), f.getValue().asText()));
        for (JsonNode table : view.path("tables")) {
            System.out.printf(
                    "%n%s (%d)%n", table.path("name").asText(), table.path("total").asInt());
            List<List<String>> rows = new ArrayList<>();
            rows.add(cells(table.path("columns")));
            table.path("rows").forEach(r -> rows.add(cells(r)));
            int[] wide = new int[rows.get(0).size()];
            rows.forEach(
                    r -> {
                        for (int i = 0; i < wide.length; i++) {
                            wide[i] = Math.max(wide[i], r.get(i).length());
                        }
                    });
            for (List<String> row : rows) {
                StringBuilder line = new StringBuilder();
                for (int i = 0; i < wide.length; i++) {
                    line.append(String.format("%-" + (wide[i] + 2) + "s", row.get(i)));
                }
                System.out.println(line.toString().stripTrailing());
            }
        }
        if (view.has("done")) {
            System.out.println("done: " + view.path("done").asText());
        }
    }

    private static List<String> cells(JsonNode row) {
        List<String> cells = new ArrayList<>();
        row.forEach(c -> cells.add(c.asText()));
        return cells;
    }

    /** Pages that list. */
    abstract static class Listing extends AdminCommands {
        @Option(
                names = "--find",
                defaultValue = "",
                paramLabel = "TEXT",
                description = "Only what has this in its name.")
        private String find;

        @Option(names = "--page", defaultValue = "0", description = "Which fifty, from 0.")
        private int page;

        final int list(String what) throws Exception {
            return ask("GET", what + "?find=" + encoded(find) + "&page=" + page);
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "What an initiator is and does.")
    static final class Status extends AdminCommands {
        @Override
        public Integer call() throws Exception {
            return ask("GET", "overview");
        }
    }

    @Command(
            name = "targets",
            mixinStandardHelpOptions = true,
            description = "The targets as an initiator sees them.")
    static final class Targets extends Listing {
        @Override
        public Integer call() throws Exception {
            return list("targets");
        }
    }

    @Command(
            name = "volumes",
            mixinStandardHelpOptions = true,
            description = "The volumes and what is left of their limits.")
    static final class Volumes extends Listing {
        @Override
        public Integer call() throws Exception {
            return list("volumes");
        }
    }

    @Command(
            name = "events",
            mixinStandardHelpOptions = true,
            description = "What happened, the latest first.")
    static final class Events extends Listing {
        @Override
        public Integer call() throws Exception {
            return list("events");
        }
    }

    /** Taking out of service and putting back. */
    abstract static class Draining extends AdminCommands {
        @Parameters(
                arity = "0..1",
                paramLabel = "TARGET",
                description =
                        "A target, for this initiator alone; without it the initiator itself.")
        private String target;

        final int act(String what) throws Exception {
            return ask("POST", target == null ? what : "targets/" + encoded(target) + "/" + what);
        }
    }

    @Command(
            name = "drain",
            mixinStandardHelpOptions = true,
            description =
                    "Takes an initiator, or a target at it, out of service; what is held is finished.")
    static final class Drain extends Draining {
        @Override
        public Integer call() throws Exception {
            return act("drain");
        }
    }

    @Command(name = "undrain", mixinStandardHelpOptions = true, description = "Puts it back.")
    static final class Undrain extends Draining {
        @Override
        public Integer call() throws Exception {
            return act("undrain");
        }
    }
}
