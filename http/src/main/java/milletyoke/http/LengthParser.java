package milletyoke.http;

/** Parses the lengths that frame a body (RFC 9112 sections 6.2 and 7.1). Stateless. */
final class LengthParser {
    /** Every decimal number with this many digits fits into an int. */
    private static final int MAX_DECIMAL_DIGITS = 9;

    private static final int MAX_HEX_DIGITS = 8;
    private static final int HEX_RADIX = 16;

    /** Maximum number of characters of a length that an error message quotes. */
    private static final int MAX_QUOTED_CHARS = 20;

    private LengthParser() {}

    /**
     * Parses the value of Content-Length.
     *
     * @param maxBytes the maximum accepted length of a body
     */
    static int contentLength(String text, int maxBytes) throws HttpParseException {
        boolean isNumber = !text.isEmpty();
        for (int i = 0; i < text.length(); i++) {
            isNumber &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!isNumber) {
            throw new HttpParseException(400, "Content-Length is not a number: " + quote(text));
        }
        if (text.length() > MAX_DECIMAL_DIGITS || Integer.parseInt(text) > maxBytes) {
            throw new HttpParseException(
                    413, "body of " + quote(text) + " bytes exceeds the limit of " + maxBytes);
        }
        return Integer.parseInt(text);
    }

    /**
     * Parses the chunk-size line that precedes a chunk. Chunk extensions are rejected: this codec
     * supports none, and they allow request smuggling where receivers parse them differently.
     *
     * @param maxBytes the maximum accepted length of a body
     */
    static int chunkSize(LineBuffer line, int maxBytes) throws HttpParseException {
        int digits = 0;
        int size = 0;
        while (digits < line.length() && Character.digit(line.byteAt(digits), HEX_RADIX) >= 0) {
            digits++;
            if (digits > MAX_HEX_DIGITS) {
                throw new HttpParseException(
                        400, "chunk size has more than " + MAX_HEX_DIGITS + " digits");
            }
            int digit = Character.digit(line.byteAt(digits - 1), HEX_RADIX);
            long next = (long) HEX_RADIX * size + digit;
            if (next > maxBytes) {
                throw bodyTooLong(maxBytes);
            }
            size = (int) next;
        }
        if (digits == 0 || digits < line.length()) {
            throw new HttpParseException(400, "chunk size is not a hexadecimal number");
        }
        return size;
    }

    static HttpParseException bodyTooLong(int maxBytes) {
        return new HttpParseException(413, "body exceeds the limit of " + maxBytes + " bytes");
    }

    private static String quote(String text) {
        return text.length() > MAX_QUOTED_CHARS
                ? text.substring(0, MAX_QUOTED_CHARS) + "..."
                : text;
    }
}
