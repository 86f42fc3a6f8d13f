package milletyoke.http;

import java.util.Locale;

/** Parses header lines (RFC 9110 section 5). Holds no state. */
final class HeaderFieldParser {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private HeaderFieldParser() {}

    static HttpMessage.HeaderField parse(LineBuffer line) throws HttpParseException {
        int end = line.length();
        int colon = 0;
        while (colon < end && line.byteAt(colon) != ':') {
            if (!isToken(line.byteAt(colon))) {
                throw new HttpParseException(400, "a header name with an invalid character");
            }
            colon++;
        }
        if (colon == 0 || colon == end) {
            throw new HttpParseException(400, "a line in the message head that is no header");
        }
        int from = colon + 1;
        int to = end;
        while (from < to && isBlank(line.byteAt(from))) {
            from++;
        }
        while (to > from && isBlank(line.byteAt(to - 1))) {
            to--;
        }
        String originalName = line.text(0, colon);
        return new HttpMessage.HeaderField(
                originalName.toLowerCase(Locale.ROOT), line.text(from, to), originalName);
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t';
    }

    /** Whether a token may have this character (RFC 9110 section 5.6.2). */
    static boolean isToken(byte value) {
        boolean isDigit = value >= '0' && value <= '9';
        boolean isLower = value >= 'a' && value <= 'z';
        boolean isUpper = value >= 'A' && value <= 'Z';
        if (isDigit || isLower || isUpper) {
            return true;
        }
        return value > ' ' && TOKEN_PUNCTUATION.indexOf(value) >= 0;
    }
}
