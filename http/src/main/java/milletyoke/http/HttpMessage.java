package milletyoke.http;

import java.util.List;
import java.util.Set;

/**
 * One complete request or response (RFC 9112).
 *
 * @param method empty for a response
 * @param target the request target as it was received (RFC 9112 section 3.2); empty for a response
 * @param status 0 for a request
 * @param headers in the order in which they were received
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are passed on without a copy, never compared
public record HttpMessage(
        String method, String target, int status, List<HeaderField> headers, byte[] body) {
    /**
     * The headers that concern one connection and are never forwarded (RFC 9110 section 7.6.1), in
     * addition to those that the Connection header names.
     */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length",
                    "host");

    /**
     * One header.
     *
     * @param name in lower case
     * @param originalName the name as it was received
     */
    public record HeaderField(String name, String value, String originalName) {}

    /**
     * The end-to-end headers as they were received, each as a terminated line.
     *
     * @param excluded names, in lower case, to leave out
     */
    public String endToEndHeaders(Set<String> excluded) {
        StringBuilder lines = new StringBuilder();
        for (HeaderField field : headers) {
            if (isEndToEnd(field.name()) && !excluded.contains(field.name())) {
                lines.append(field.originalName()).append(": ").append(field.value());
                lines.append("\r\n");
            }
        }
        return lines.toString();
    }

    private boolean isEndToEnd(String name) {
        return !HOP_BY_HOP.contains(name) && !isConnectionOption(name);
    }

    /** The value of a header; null if the message does not have it exactly once. */
    public String singleHeader(String name) {
        String value = null;
        for (HeaderField field : headers) {
            if (field.name().equals(name)) {
                if (value != null) {
                    return null;
                }
                value = field.value();
            }
        }
        return value;
    }

    /** How often the message has a header. */
    public int headerCount(String name) {
        int count = 0;
        for (HeaderField field : headers) {
            if (field.name().equals(name)) {
                count++;
            }
        }
        return count;
    }

    /** Whether the sender closes the connection after this message (RFC 9112 section 9.6). */
    public boolean hasConnectionClose() {
        return isConnectionOption("close");
    }

    private boolean isConnectionOption(String name) {
        for (HeaderField field : headers) {
            if (field.name().equals("connection") && hasOption(field.value(), name)) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasOption(String options, String name) {
        for (String option : options.split(",", -1)) {
            if (option.strip().equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }
}
