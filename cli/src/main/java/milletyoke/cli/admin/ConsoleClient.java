package milletyoke.cli.admin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** An HTTP client of one initiator's console API. */
final class ConsoleClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final String API_PREFIX = "/api/v1/";

    private final String consoleUrl;
    private final String token;
    private final HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

    ConsoleClient(String consoleUrl, String token) {
        this.consoleUrl = consoleUrl;
        this.token = token;
    }

    /**
     * Sends a request without a body and waits for the reply.
     *
     * @param path the path relative to the API's prefix, including the query
     * @throws IOException if the console cannot be reached; the message names its URL
     */
    ConsoleReply send(String method, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(endpoint(path))
                        .timeout(REQUEST_TIMEOUT)
                        .header("Authorization", "Bearer " + token)
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        try {
            HttpResponse<String> response =
                    http.send(request, HttpResponse.BodyHandlers.ofString());
            return new ConsoleReply(response.statusCode(), response.body());
        } catch (IOException unreachable) {
            throw new IOException(
                    "the console at " + consoleUrl + " is unreachable: " + unreachable,
                    unreachable);
        }
    }

    private URI endpoint(String path) {
        return URI.create(consoleUrl.replaceAll("/+$", "") + API_PREFIX + path);
    }
}
