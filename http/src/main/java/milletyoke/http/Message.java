package milletyoke.http;

import java.util.List;

/**
 * One whole request or answer (RFC 9112).
 *
 * @param method empty for an answer
 * @param target the request's target as it came (RFC 9112 section 3.2); empty for an answer
 * @param status 0 for a request
 * @param fields in the order in which they came
 */
public record Message(String method, String target, int status, List<Field> fields, byte[] body) {
    /** @param name in lower case */
    public record Field(String name, String value) {}

    /** The value of a field that may stand there once; null where it does not, or stands there several times. */
    public String only(String name) {
        String found = null;
        for (Field f : fields) {
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
    public int count(String name) {
        int times = 0;
        for (Field f : fields) {
            times += f.name().equals(name) ? 1 : 0;
        }
        return times;
    }

    /** Whether the sender closes after this message (RFC 9112 section 9.6). */
    public boolean saysClose() {
        for (Field f : fields) {
            if (f.name().equals("connection")) {
                for (String option : f.value().split(",")) {
                    if (option.strip().equalsIgnoreCase("close")) {
                        return true;
                    }
                }
            }
        }
        return false;
    }
}
