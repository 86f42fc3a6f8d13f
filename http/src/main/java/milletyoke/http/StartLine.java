package milletyoke.http;

import java.nio.charset.StandardCharsets;

/** The start line of the message that is being received: a request line or a status line. */
final class StartLine {
    private static final String HTTP_VERSION = "HTTP/1.1";
    private static final byte[] STATUS_LINE_PREFIX =
            (HTTP_VERSION + " ").getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_METHOD_LENGTH = 16;
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int SWITCHING_PROTOCOLS = 101;

    private final HttpMessageDecoder.Side side;
    private String method = "";
    private String target = "";
    private int status;

    StartLine(HttpMessageDecoder.Side side) {
        this.side = side;
    }

    /** Empty for a response. */
    String method() {
        return method;
    }

    /** Empty for a response. */
    String target() {
        return target;
    }

    /** 0 for a request. */
    int status() {
        return status;
    }

    void clear() {
        method = "";
        target = "";
        status = 0;
    }

    /**
     * Checks the last byte of an incomplete start line. So a peer that sends anything else than
     * HTTP is detected at its first wrong byte, and not waited for.
     */
    void checkLastByte(LineBuffer line) throws HttpParseException {
        byte last = line.byteAt(line.length() - 1);
        if (side == HttpMessageDecoder.Side.RESPONSES) {
            checkStatusLineByte(line, last);
        } else {
            checkRequestLineByte(line, last);
        }
    }

    private static void checkStatusLineByte(LineBuffer line, byte last) throws HttpParseException {
        int length = line.length();
        if (length <= STATUS_LINE_PREFIX.length && last != STATUS_LINE_PREFIX[length - 1]) {
            throw new HttpParseException(400, "a response that is not " + HTTP_VERSION);
        }
    }

    private static void checkRequestLineByte(LineBuffer line, byte last) throws HttpParseException {
        if (last < 0 || last == '\t') {
            throw new HttpParseException(
                    400, "a request line with other characters than visible ASCII");
        }
        int length = line.length();
        if (length <= MAX_METHOD_LENGTH + 1
                && !HeaderFieldParser.isToken(last)
                && !hasSpace(line)) {
            throw new HttpParseException(400, "a request line without a method");
        }
        if (length == MAX_METHOD_LENGTH + 1 && !hasSpace(line)) {
            throw new HttpParseException(
                    501, "a method of over " + MAX_METHOD_LENGTH + " characters");
        }
    }

    /** Whether the line has a space behind its first character. */
    private static boolean hasSpace(LineBuffer line) {
        for (int i = 1; i < line.length(); i++) {
            if (line.byteAt(i) == ' ') {
                return true;
            }
        }
        return false;
    }

    /** Parses the complete line. */
    void parse(String text) throws HttpParseException {
        if (side == HttpMessageDecoder.Side.REQUESTS) {
            parseRequestLine(text);
        } else {
            parseStatusLine(text);
        }
    }

    private void parseRequestLine(String text) throws HttpParseException {
        int first = text.indexOf(' ');
        int last = text.lastIndexOf(' ');
        boolean hasTwoSpaces = first != last && text.indexOf(' ', first + 1) == last;
        if (first < 1 || !hasTwoSpaces || last == first + 1) {
            throw new HttpParseException(
                    400, "a request line that is not method, target and version");
        }
        String version = text.substring(last + 1);
        if (!version.equals(HTTP_VERSION)) {
            boolean isHttp = version.matches("HTTP/[0-9]\\.[0-9]");
            throw new HttpParseException(
                    isHttp ? 505 : 400, "a version other than " + HTTP_VERSION);
        }
        method = text.substring(0, first);
        target = text.substring(first + 1, last);
    }

    private void parseStatusLine(String text) throws HttpParseException {
        int from = STATUS_LINE_PREFIX.length;
        int to = from + STATUS_DIGITS;
        boolean isValid = text.length() == to || (text.length() > to && text.charAt(to) == ' ');
        for (int i = from; isValid && i < to; i++) {
            isValid = text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        status = isValid ? Integer.parseInt(text.substring(from, to)) : 0;
        if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
            throw new HttpParseException(400, "a status line without a valid status");
        }
    }
}
