package milletyoke.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client's connection that is kept open and sends one request at a time. */
final class KeptConnection implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final Pattern RESPONSE_HEAD =
            Pattern.compile("^HTTP/1.1 (\\d+)(?s:.*?)\r\n\r\n");
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    /** What the client of a request can conclude from what it received. */
    enum Outcome {
        /** A whole response was received. */
        ANSWERED,
        /** The connection had ended before the request was sent. */
        ENDED_BEFORE_SENT,
        /** The connection was reset without a response, so that the request was not read. */
        RESET,
        /** The connection ended in order without a whole response. */
        ENDED_WITHOUT_RESPONSE,
        /** Nothing was received in time. */
        NO_END
    }

    private final SocketChannel channel;
    private final StringBuilder received = new StringBuilder();
    private final ByteBuffer input = ByteBuffer.allocate(BUFFER_BYTES);
    private Outcome outcome;

    KeptConnection(int port) throws IOException {
        this(port, 0);
    }

    /**
     * Opens a connection.
     *
     * @param receiveBufferBytes 0 for the system's own choice
     */
    KeptConnection(int port, int receiveBufferBytes) throws IOException {
        channel = SocketChannel.open();
        if (receiveBufferBytes > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
        }
        channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        channel.configureBlocking(false);
    }

    /** Returns a request of a class that may be repeated. */
    static String request(String transactionId, long remainingMillis) {
        return request(transactionId, remainingMillis, 0);
    }

    /** Returns a request to one of the targets. */
    static String request(String transactionId, long remainingMillis, int target) {
        return "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: "
                + transactionId
                + "\r\nX-Lane: read\r\nX-Plan: p\r\nCookie: key=7f3a9c21e0b4d655\r\nX-Remaining: "
                + remainingMillis / 1_000.0
                + "\r\nX-IO: volume=00000003b4d60021,units=1,shard="
                + target
                + ",hosts=1\r\n\r\n";
    }

    /**
     * Sends bytes unless the connection has ended, or a response was received to the part of a
     * request that was sent before; the outcome then tells that.
     */
    void send(String bytes) {
        if (outcome != null) {
            return;
        }
        try {
            outcome = receive();
            if (outcome == null) {
                channel.write(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.US_ASCII)));
            } else if (outcome == Outcome.ENDED_WITHOUT_RESPONSE) {
                outcome = Outcome.ENDED_BEFORE_SENT;
            }
        } catch (IOException reset) {
            outcome = Outcome.RESET;
        }
    }

    /** Waits for the response to the request that was sent, or for the connection's end. */
    Outcome awaitOutcome() throws Exception {
        long untilNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (outcome == null) {
            outcome = receive();
            if (outcome == null && System.nanoTime() > untilNanos) {
                outcome = Outcome.NO_END;
            }
            if (outcome == null) {
                Thread.sleep(1);
            }
        }
        Outcome last = outcome;
        outcome = last == Outcome.ANSWERED ? null : last;
        return last;
    }

    private Outcome receive() throws IOException {
        int count;
        try {
            count = channel.read(input.clear());
        } catch (SocketException reset) {
            return Outcome.RESET;
        }
        if (count > 0) {
            received.append(new String(input.array(), 0, count, StandardCharsets.ISO_8859_1));
        }
        if (removeResponse()) {
            return Outcome.ANSWERED;
        }
        return count < 0 ? Outcome.ENDED_WITHOUT_RESPONSE : null;
    }

    private boolean removeResponse() {
        Matcher head = RESPONSE_HEAD.matcher(received);
        if (!head.find()) {
            return false;
        }
        Matcher length = CONTENT_LENGTH.matcher(head.group());
        int end = head.end() + (length.find() ? Integer.parseInt(length.group(1)) : 0);
        if (received.length() < end) {
            return false;
        }
        received.delete(0, end);
        return true;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
