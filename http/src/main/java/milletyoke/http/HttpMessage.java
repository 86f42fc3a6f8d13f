package milletyoke.http;

import java.util.List;
import java.util.Set;

/**
 * A complete HTTP request or response (RFC 9112).
 *
 * @param method empty for a response
 * @param target the request target as received (RFC 9112 section 3.2); empty for a response
 * @param status the status code; 0 for a request
 * @param headers all header fields, in the order in which they were received
 * @param isBodyOmitted whether the message had a body that was dropped for lack of memory
 */
@SuppressWarnings(
        "ArrayRecordComponent") // bodies are passed on without copying and are never compared
public record HttpMessage(
        String method,
        String target,
        int status,
        List<HeaderField> headers,
        byte[] body,
        boolean isBodyOmitted) {
    /** Estimated memory of the objects of a message without the characters of its texts. */
    private static final int MESSAGE_OVERHEAD_BYTES = 200;

    /** Estimated memory of the objects of one header field without its characters. */
    private static final int FIELD_OVERHEAD_BYTES = 150;

    /**
     * Lower-case names of the headers that apply to a single connection and are never forwarded
     * (RFC 9110 section 7.6.1), in addition to those listed in the Connection header.
     */
    private static final Set<String> HOP_BY_HOP_HEADERS =
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
     * A header field.
     *
     * @param name the name in lower case
     * @param originalName the name as received
     */
    public record HeaderField(String name, String value, String originalName) {}

    /**
     * Returns the end-to-end headers as received, each as one line that ends in CR LF.
     *
     * @param excluded lower-case names of headers to leave out
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
        return !HOP_BY_HOP_HEADERS.contains(name) && !isConnectionOption(name);
    }

    /** Returns an estimate of the memory that the message occupies, in bytes. */
    public int estimatedBytes() {
        int bytes = MESSAGE_OVERHEAD_BYTES + target.length() + body.length;
        for (HeaderField field : headers) {
            bytes += FIELD_OVERHEAD_BYTES + 2 * field.name().length() + field.value().length();
        }
        return bytes;
    }

    /** Returns the value of a header, or null if the message does not have it exactly once. */
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

    /** Returns the number of times that a header occurs in the message. */
    public int headerCount(String name) {
        int count = 0;
        for (HeaderField field : headers) {
            if (field.name().equals(name)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns whether the sender closes the connection after this message (RFC 9112 section 9.6).
     */
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
