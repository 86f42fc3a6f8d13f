package milletyoke.gateway.console;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.glassfish.grizzly.http.server.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the console's HTTP responses. Stateless. */
final class Responses {
    private static final Logger LOG = LoggerFactory.getLogger(Responses.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String RESOURCE_FOLDER = "/console/";

    private Responses() {}

    static void addSecurityHeaders(Response response) {
        response.setHeader(
                "Content-Security-Policy",
                "default-src 'none'; style-src 'self'; script-src 'self'; "
                        + "connect-src 'self'; form-action 'self'; base-uri 'none'; "
                        + "frame-ancestors 'none'");
        response.setHeader("X-Content-Type-Options", "nosniff");
        response.setHeader("X-Frame-Options", "DENY");
        response.setHeader("Referrer-Policy", "no-referrer");
        response.setHeader("Cache-Control", "no-store");
    }

    static void sendRedirect(Response response, String location) {
        response.setStatus(303);
        response.setHeader("Location", location);
    }

    static void sendHtml(Response response, int status, String text) throws IOException {
        send(response, status, "text/html; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    static void sendJson(Response response, int status, Object body) throws IOException {
        String type = status >= 400 ? "application/problem+json" : "application/json";
        send(response, status, type, toJson(body));
    }

    private static byte[] toJson(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    static String toJsonText(Object body) throws JsonProcessingException {
        return JSON.writeValueAsString(body);
    }

    /**
     * Sends an error unless the response is already committed; disconnected clients are ignored.
     */
    static void sendProblem(Response response, HttpProblemException problem, boolean isApi) {
        if (response.isCommitted()) {
            return;
        }
        try {
            if (isApi) {
                sendJson(response, problem.status(), problemBody(problem));
            } else {
                sendHtml(response, problem.status(), HtmlRenderer.problemPage(problem));
            }
        } catch (IOException disconnected) {
            LOG.debug(
                    "console response not sent: client disconnected error={}",
                    disconnected.getMessage());
        }
    }

    private static Map<String, Object> problemBody(HttpProblemException problem) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("type", "about:blank");
        body.put("title", problem.title());
        body.put("status", problem.status());
        body.put("detail", problem.getMessage());
        return body;
    }

    /** Sends the style sheet or the script of the pages. */
    static void sendStaticFile(Response response, String name)
            throws HttpProblemException, IOException {
        String type =
                switch (name) {
                    case "console.css" -> "text/css; charset=utf-8";
                    case "console.js" -> "text/javascript; charset=utf-8";
                    default -> throw HttpProblemException.notFound();
                };
        try (InputStream in = Responses.class.getResourceAsStream(RESOURCE_FOLDER + name)) {
            send(response, 200, type, in.readAllBytes());
        }
    }

    private static void send(Response response, int status, String type, byte[] body)
            throws IOException {
        response.setStatus(status);
        response.setContentType(type);
        response.setContentLength(body.length);
        response.getOutputStream().write(body);
    }
}
