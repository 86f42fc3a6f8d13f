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

/** An HTTP client of a console with one access token. */
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

    /** Writes a file with the tokens of these tests. */
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

    static String entry(String name, String role, String token, String extraFields) {
        return "{name: \""
                + name
                + "\", role: \""
                + role
                + "\", sha256: \""
                + HexFormat.of().formatHex(Tokens.hash(token))
                + "\""
                + extraFields
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
        HttpResponse<String> response = get("/api/v1/" + page);
        if (response.statusCode() != 200) {
            throw new AssertionError(page + ": " + response.statusCode() + " " + response.body());
        }
        return JSON.readTree(response.body());
    }

    List<String> pages() throws Exception {
        return JSON.convertValue(
                view("").get("pages"),
                JSON.getTypeFactory().constructCollectionType(List.class, String.class));
    }

    /** Reads a number of messages of the event stream of a page. */
    String stream(String query, int messages) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(base + "/api/v1/stream?" + query))
                        .header("Authorization", "Bearer " + token)
                        .timeout(Duration.ofSeconds(20))
                        .build();
        HttpResponse<java.util.stream.Stream<String>> response =
                client.send(request, HttpResponse.BodyHandlers.ofLines());
        try (var lines = response.body()) {
            return response.statusCode()
                    + " "
                    + String.join(
                            "\n",
                            lines.filter(line -> line.startsWith("data:"))
                                    .limit(messages)
                                    .toList());
        }
    }

    /**
     * Returns every path that is reachable by links from the API index and the first page, so that
     * new pages are included.
     */
    Set<String> crawl() throws Exception {
        Set<String> paths = new TreeSet<>();
        java.util.ArrayDeque<String> pendingPaths = new java.util.ArrayDeque<>(List.of("/"));
        pages().forEach(page -> pendingPaths.add("/api/v1/" + page));
        Pattern link = Pattern.compile("(?:href|src|action)=\"([^\"]+)\"");
        while (!pendingPaths.isEmpty()) {
            String path = pendingPaths.remove();
            if (path.startsWith("/") && paths.add(path)) {
                Matcher matcher = link.matcher(get(path).body());
                while (matcher.find()) {
                    pendingPaths.add(matcher.group(1).replace("&amp;", "&"));
                }
            }
        }
        return paths;
    }
}
