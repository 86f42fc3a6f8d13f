package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages with Content-Length, as the protocol page has them. */
final class Http {
    private Http() {}

    /** A request or a response. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String path() {
            return startLine.split(" ")[1];
        }
    }

    /** Reads one message; returns null if the peer ended before its first byte. */
    static Message read(BufferedInputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String next = line(in);
        while (next != null && !next.isEmpty()) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
            next = line(in);
        }
        if (next == null) {
            throw new EOFException("end inside a head");
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("end inside a body");
        }
        return new Message(startLine, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("end inside a line");
            }
            if (next != '\r') {
                text.append((char) next);
            }
            next = in.read();
        }
        return text.toString();
    }

    static byte[] response(int status, String reason, String headers, byte[] body) {
        byte[] head =
                ("HTTP/1.1 "
                                + status
                                + " "
                                + reason
                                + "\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        return join(head, body);
    }

    static byte[] ok(byte[] body) {
        return response(200, "OK", "", body);
    }

    static byte[] join(byte[] head, byte[] body) {
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
