package milletyoke.http;

import java.util.List;
import java.util.Set;

/**
 * One whole request or answer (RFC 9112).
 *
 * @param method empty for an answer
 * @param target the request's target as it came (RFC 9112 section 3.2); empty for an answer
 * @param status 0 for a request
 * @param headers in the order in which they came
 */
public record HttpMessage(
        String method, String target, int status, List<HeaderField> headers, byte[] body) {
    /**
     * What holds between two neighbours alone and is never passed on (RFC 9110 section 7.6.1),
     * beside what Connection names.
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
     * @param name in lower case @param originalName the name as it came
     */
    public record HeaderField(String name, String value, String originalName) {}

    /** Fields from end to end but those named (in lower case), each as a line, as they came. */
    public String endToEndHeaders(Set<String> but) {
        StringBuilder lines = new StringBuilder();
        for (HeaderField f : headers) {
            if (!HOP_BY_HOP.contains(f.name()) && !but.contains(f.name()) && !isOption(f.name())) {
                lines.append(f.originalName()).append(": ").append(f.value()).append("\r\n");
            }
        }
        return lines.toString();
    }

    /**
     * The value of a field that may stand there once; null where it does not, or stands there
     * several times.
     */
    public String singleHeader(String name) {
        String found = null;
        for (HeaderField f : headers) {
            if (f.name().equals(name)) {
                if (found != null) {
                    return null;
                }
                found = f.value();
            }
        }
        return found;
    }

    /** How often a field stands there. */
    public int headerCount(String name) {
        int times = 0;
        for (HeaderField f : headers) {
            times += f.name().equals(name) ? 1 : 0;
        }
        return times;
    }

    /** Whether the sender closes after this message (RFC 9112 section 9.6). */
    public boolean hasConnectionClose() {
        return isOption("close");
    }

    /** Whether Connection names it. */
    private boolean isOption(String name) {
        for (HeaderField f : headers) {
            if (f.name().equals("connection")) {
                for (String option : f.value().split(",")) {
                    if (option.strip().equalsIgnoreCase(name)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }
}
