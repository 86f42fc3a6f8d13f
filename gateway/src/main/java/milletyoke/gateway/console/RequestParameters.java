package milletyoke.gateway.console;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.Request;

/** Reads and validates the parameters and form fields of requests. Stateless. */
final class RequestParameters {
    static final int MAX_BODY_BYTES = 4_096;
    private static final int MAX_FIND_LENGTH = 100;
    private static final int MAX_PAGE = 100_000;

    private RequestParameters() {}

    static void requireMethod(Request request, Method method) throws HttpProblemException {
        if (!request.getMethod().equals(method)) {
            throw HttpProblemException.methodNotAllowed(method.toString());
        }
    }

    /**
     * Reads the query of a page.
     *
     * @param allowed names of all parameters that the request may have
     * @param pageParameter name of the parameter with the number of the part
     */
    static PageQuery readPageQuery(Request request, Set<String> allowed, String pageParameter)
            throws HttpProblemException {
        for (String name : request.getParameterNames()) {
            if (!allowed.contains(name)) {
                throw HttpProblemException.badRequest(
                        "Unknown parameter; known parameters are "
                                + allowed.stream().sorted().toList()
                                + ".");
            }
        }
        String find = request.getParameter("find");
        if (find != null && find.length() > MAX_FIND_LENGTH) {
            throw HttpProblemException.badRequest(
                    "find may have at most " + MAX_FIND_LENGTH + " characters.");
        }
        int page = parsePageNumber(request.getParameter(pageParameter), pageParameter);
        return new PageQuery(find == null ? "" : find, page);
    }

    private static int parsePageNumber(String text, String parameter) throws HttpProblemException {
        try {
            int page = text == null || text.isEmpty() ? 0 : Integer.parseInt(text);
            if (page >= 0 && page <= MAX_PAGE) {
                return page;
            }
        } catch (NumberFormatException notANumber) {
            // the exception below states the allowed range
        }
        throw HttpProblemException.badRequest(
                parameter + " must be an integer from 0 to " + MAX_PAGE + ".");
    }

    /** Reads the fields of a URL-encoded form; a field that is not allowed is an error. */
    static Map<String, String> readForm(Request request, Set<String> allowed)
            throws HttpProblemException, IOException {
        if (request.getContentLengthLong() > MAX_BODY_BYTES) {
            throw HttpProblemException.tooLarge(MAX_BODY_BYTES);
        }
        byte[] bytes = request.getInputStream().readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
            throw HttpProblemException.tooLarge(MAX_BODY_BYTES);
        }
        Map<String, String> form = new HashMap<>();
        for (String pair : new String(bytes, StandardCharsets.UTF_8).split("&", 0)) {
            int equals = pair.indexOf('=');
            String name = equals < 0 ? pair : urlDecode(pair.substring(0, equals));
            if (allowed.contains(name)) {
                form.put(name, equals < 0 ? "" : urlDecode(pair.substring(equals + 1)));
            } else if (!pair.isEmpty()) {
                throw HttpProblemException.badRequest("Unknown form field.");
            }
        }
        return form;
    }

    static String urlDecode(String text) throws HttpProblemException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            throw HttpProblemException.badRequest("Malformed URL encoding.");
        }
    }
}
