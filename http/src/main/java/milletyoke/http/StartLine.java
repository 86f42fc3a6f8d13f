package milletyoke.http;

import java.nio.charset.StandardCharsets;

/** Parses the start line of a message: a request line or a status line. */
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

    /** Returns the method; empty for a response. */
    String method() {
        return method;
    }

    /** Returns the request target; empty for a response. */
    String target() {
        return target;
    }

    /** Returns the status code; 0 for a request. */
    int status() {
        return status;
    }

    void clear() {
        method = "";
        target = "";
        status = 0;
    }

    /**
     * Checks the last byte of an incomplete start line. A peer that does not use HTTP is thus
     * rejected at its first invalid byte, not only when a line ends or a timeout expires.
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
            throw new HttpParseException(400, "response does not start with " + HTTP_VERSION);
        }
    }

    private static void checkRequestLineByte(LineBuffer line, byte last) throws HttpParseException {
        if (last < 0 || last == '\t') {
            throw new HttpParseException(
                    400, "request line contains a character other than visible ASCII");
        }
        int length = line.length();
        if (length <= MAX_METHOD_LENGTH + 1
                && !HeaderFieldParser.isTokenChar(last)
                && !hasSpace(line)) {
            throw new HttpParseException(400, "request line does not start with a method");
        }
        if (length == MAX_METHOD_LENGTH + 1 && !hasSpace(line)) {
            throw new HttpParseException(
                    501, "method has more than " + MAX_METHOD_LENGTH + " characters");
        }
    }

    /** Returns whether the line has a space after its first character. */
    private static boolean hasSpace(LineBuffer line) {
        for (int i = 1; i < line.length(); i++) {
            if (line.byteAt(i) == ' ') {
                return true;
            }
        }
        return false;
    }

    /** Parses a complete start line. */
    void parse(String text) throws HttpParseException {
        if (side == HttpMessageDecoder.Side.REQUESTS) {
            parseRequestLine(text);
        } else {
            parseStatusLine(text);
        }
    }

    private void parseRequestLine(String text) throws HttpParseException {
        int firstSpace = text.indexOf(' ');
        int lastSpace = text.lastIndexOf(' ');
        boolean hasTwoSpaces =
                firstSpace != lastSpace && text.indexOf(' ', firstSpace + 1) == lastSpace;
        if (firstSpace < 1 || !hasTwoSpaces || lastSpace == firstSpace + 1) {
            throw new HttpParseException(
                    400, "request line does not consist of a method, a target and a version");
        }
        String version = text.substring(lastSpace + 1);
        if (!version.equals(HTTP_VERSION)) {
            boolean isHttp = version.matches("HTTP/[0-9]\\.[0-9]");
            throw new HttpParseException(
                    isHttp ? 505 : 400, "protocol version is not " + HTTP_VERSION);
        }
        method = text.substring(0, firstSpace);
        target = text.substring(firstSpace + 1, lastSpace);
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
            throw new HttpParseException(400, "status line without a valid status code");
        }
    }
}
