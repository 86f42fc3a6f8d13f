package milletyoke.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.gateway.console.Tokens;

/** One token's way of looking at a console, without a browser. */
final class Viewer {
    static final String OPERATOR = "token-of-the-operator",
            VIEWER = "token-of-the-viewer",
            CLUB = "token-of-club",
            BASIC = "token-of-basic";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder()
                    .connectTimeout(Duration.ofSeconds(5))
                    .version(HttpClient.Version.HTTP_1_1)
                    .build();
    final String base;
    private final String token;

    Viewer(int port, String token) {
        base = "http://127.0.0.1:" + port;
        this.token = token;
    }

    /** A file with the tokens of these tests. */
    static Path tokens(Path folder) throws IOException {
        return Files.writeString(
                folder.resolve("tokens.json5"),
                "{tokens: ["
                        + entry("op", "operator", OPERATOR, "")
                        + entry("vi", "viewer", VIEWER, "")
                        + entry("club", "tenant", CLUB, ", volumes: \"club-*\"")
                        + entry("basic", "tenant", BASIC, ", volumes: \"basic-*\"")
                        + "]}");
    }

    static String entry(String name, String role, String token, String more) {
        return "{name: \""
                + name
                + "\", role: \""
                + role
                + "\", sha256: \""
                + HexFormat.of().formatHex(Tokens.hash(token))
                + "\""
                + more
                + "},\n";
    }

    HttpResponse<String> send(String method, String path, String... headers) throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(base + path))
                        .timeout(Duration.ofSeconds(20))
                        .method(method, HttpRequest.BodyPublishers.noBody());
        if (token != null) {
            request.header("Authorization", "Bearer " + token);
        }
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String path) throws Exception {
        return send("GET", path);
    }

    HttpResponse<String> form(String path, String body, String cookie) throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(base + path))
                        .timeout(Duration.ofSeconds(20))
                        .header("Content-Type", "application/x-www-form-urlencoded")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (cookie != null) {
            request.header("Cookie", cookie);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode view(String page) throws Exception {
        HttpResponse<String> answer = get("/api/v1/" + page);
        if (answer.statusCode() != 200) {
            throw new AssertionError(page + ": " + answer.statusCode() + " " + answer.body());
        }
        return JSON.readTree(answer.body());
    }

    List<String> pages() throws Exception {
        return JSON.convertValue(
                view("").get("pages"),
                JSON.getTypeFactory().constructCollectionType(List.class, String.class));
    }

    /** Some of a page's stream: as many whole messages as are asked for. */
    String stream(String query, int messages) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(base + "/api/v1/stream?" + query))
                        .header("Authorization", "Bearer " + token)
                        .timeout(Duration.ofSeconds(20))
                        .build();
        HttpResponse<java.util.stream.Stream<String>> answer =
                client.send(request, HttpResponse.BodyHandlers.ofLines());
        try (var lines = answer.body()) {
            return answer.statusCode()
                    + " "
                    + String.join(
                            "\n",
                            lines.filter(l -> l.startsWith("data:")).limit(messages).toList());
        }
    }

    /**
     * Every path that can be reached from the index and the first page by links, so a new page is
     * among them.
     */
    Set<String> crawl() throws Exception {
        Set<String> paths = new TreeSet<>();
        java.util.ArrayDeque<String> toSee = new java.util.ArrayDeque<>(List.of("/"));
        pages().forEach(p -> toSee.add("/api/v1/" + p));
        Pattern link = Pattern.compile("(?:href|src|action)=\"([^\"]+)\"");
        while (!toSee.isEmpty()) {
            String path = toSee.remove();
            if (path.startsWith("/") && paths.add(path)) {
                Matcher m = link.matcher(get(path).body());
                while (m.find()) {
                    toSee.add(m.group(1).replace("&amp;", "&"));
                }
            }
        }
        return paths;
    }
}
