package milletyoke.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the start line and headers of a message; the caller writes the body separately. */
public final class HeaderWriter {
    private static final int INITIAL_CAPACITY = 256;
    private static final int MICROS_PER_MILLI = 1000;
    private static final int MILLIS_PER_SECOND = 1000;

    private final StringBuilder head = new StringBuilder(INITIAL_CAPACITY);

    private HeaderWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    /** Starts a request. */
    public static HeaderWriter request(String method, String target) {
        return new HeaderWriter(method + " " + target + " HTTP/1.1");
    }

    /** Starts a response. */
    public static HeaderWriter response(int status) {
        return new HeaderWriter("HTTP/1.1 " + status + " " + reasonPhrase(status));
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "";
        };
    }

    /**
     * Adds a header.
     *
     * @param value without line terminators, as {@link HttpMessageDecoder} delivers values
     */
    public HeaderWriter header(String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /**
     * Adds a header whose value is a duration in seconds with three decimals. The duration is
     * rounded down to milliseconds, but is at least one millisecond.
     */
    public HeaderWriter headerInSeconds(String name, long micros) {
        long millis = Math.max(1, micros / MICROS_PER_MILLI);
        String padded = Long.toString(millis % MILLIS_PER_SECOND + MILLIS_PER_SECOND);
        return header(name, millis / MILLIS_PER_SECOND + "." + padded.substring(1));
    }

    /** Adds headers that are already formatted as complete lines, each ending in CR LF. */
    public HeaderWriter lines(String lines) {
        head.append(lines);
        return this;
    }

    /** Adds a Content-Length header for the body that follows the headers. */
    public HeaderWriter contentLength(int bytes) {
        return header("Content-Length", Integer.toString(bytes));
    }

    /** Returns the encoded start line and headers, including the empty line that ends them. */
    public ByteBuffer toBuffer() {
        return ByteBuffer.wrap(
                head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}
