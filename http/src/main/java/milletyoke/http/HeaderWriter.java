package milletyoke.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The head of a message on its way out; the body is written behind it as it is. */
public final class HeaderWriter {
    private final StringBuilder head = new StringBuilder(256);

    private HeaderWriter(String start) {
        head.append(start).append("\r\n");
    }

    public static HeaderWriter request(String method, String target) {
        return new HeaderWriter(method + " " + target + " HTTP/1.1");
    }

    public static HeaderWriter response(int status) {
        return new HeaderWriter("HTTP/1.1 " + status + " " + reason(status));
    }

    private static String reason(int status) {
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

    /** The value must be free of line ends: what came through {@link HttpMessageDecoder} is. */
    public HeaderWriter header(String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /**
     * Seconds with three decimals, rounded down; below one millisecond what is left of it is told
     * as one.
     */
    public HeaderWriter headerInSeconds(String name, long micros) {
        long millis = Math.max(1, micros / 1000);
        String part = Long.toString(millis % 1000 + 1000);
        return header(name, millis / 1000 + "." + part.substring(1));
    }

    /** Fields that are lines already, each ended. */
    public HeaderWriter lines(String lines) {
        head.append(lines);
        return this;
    }

    /** Says how long the body is that is written behind the head. */
    public HeaderWriter contentLength(int bytes) {
        return header("Content-Length", Integer.toString(bytes));
    }

    public ByteBuffer toBuffer() {
        return ByteBuffer.wrap(
                head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}
