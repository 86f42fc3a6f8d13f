package milletyoke.http;

/** Parses the lengths that frame a body (RFC 9112 sections 6.2 and 7.1). Holds no state. */
final class LengthParser {
    /** A decimal number of this many digits is always an int. */
    private static final int MAX_DECIMAL_DIGITS = 9;

    private static final int MAX_HEX_DIGITS = 8;
    private static final int HEX_RADIX = 16;

    /** How much of an invalid length a message quotes. */
    private static final int MAX_QUOTED = 20;

    private LengthParser() {}

    /**
     * Parses the value of Content-Length.
     *
     * @param maxBytes the longest body that is accepted
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
                    413, "a body of " + quote(text) + " bytes, at most " + maxBytes);
        }
        return Integer.parseInt(text);
    }

    /**
     * Parses the line ahead of a chunk. Chunk extensions are rejected, since they have no meaning
     * here and can disguise a message.
     *
     * @param maxBytes the longest body that is accepted
     */
    static int chunkSize(LineBuffer line, int maxBytes) throws HttpParseException {
        int digits = 0;
        int size = 0;
        while (digits < line.length() && Character.digit(line.byteAt(digits), HEX_RADIX) >= 0) {
            digits++;
            if (digits > MAX_HEX_DIGITS) {
                throw new HttpParseException(
                        400, "a chunk size of over " + MAX_HEX_DIGITS + " digits");
            }
            int digit = Character.digit(line.byteAt(digits - 1), HEX_RADIX);
            long next = (long) HEX_RADIX * size + digit;
            if (next > maxBytes) {
                throw bodyTooLong(maxBytes);
            }
            size = (int) next;
        }
        if (digits == 0 || digits < line.length()) {
            throw new HttpParseException(400, "a chunk size that is not a hexadecimal number");
        }
        return size;
    }

    static HttpParseException bodyTooLong(int maxBytes) {
        return new HttpParseException(413, "a body of over " + maxBytes + " bytes");
    }

    private static String quote(String text) {
        return text.length() > MAX_QUOTED ? text.substring(0, MAX_QUOTED) + "..." : text;
    }
}
