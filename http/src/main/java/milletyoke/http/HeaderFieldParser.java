package milletyoke.http;

import java.util.Locale;

/** Parses header lines (RFC 9110 section 5). Stateless. */
final class HeaderFieldParser {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private HeaderFieldParser() {}

    static HttpMessage.HeaderField parse(LineBuffer line) throws HttpParseException {
        int end = line.length();
        int colon = 0;
        while (colon < end && line.byteAt(colon) != ':') {
            if (!isTokenChar(line.byteAt(colon))) {
                throw new HttpParseException(400, "invalid character in a header field name");
            }
            colon++;
        }
        if (colon == 0 || colon == end) {
            throw new HttpParseException(400, "header line without a field name or a colon");
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

    /** Returns whether the character is allowed in a token (RFC 9110 section 5.6.2). */
    static boolean isTokenChar(byte value) {
        boolean isDigit = value >= '0' && value <= '9';
        boolean isLower = value >= 'a' && value <= 'z';
        boolean isUpper = value >= 'A' && value <= 'Z';
        if (isDigit || isLower || isUpper) {
            return true;
        }
        return value > ' ' && TOKEN_PUNCTUATION.indexOf(value) >= 0;
    }
}
