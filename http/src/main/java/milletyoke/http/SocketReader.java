package milletyoke.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * Reads the sockets of one transport and delivers what was read to the handlers. Distinguishes the
 * end of input from a reset: a response that is delimited by the end of input is incomplete after a
 * reset.
 *
 * <p>Used on the transport's thread.
 */
final class SocketReader {
    static final int BUFFER_BYTES = 16 * 1024;

    /** How often {@link #readAll} reads at most, so that no peer can keep the thread. */
    private static final int MAX_READS = 64;

    /** Shared by all connections, since a single thread reads them. */
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

    private boolean isReading;
    private boolean isStopped;

    /**
     * Reads nothing any more; what arrives from now on stays unread. Connections that close
     * gracefully are still drained, since unread input could destroy their last message.
     */
    void stop() {
        isStopped = true;
    }

    boolean isStoppedFor(HttpConnection connection) {
        return isStopped && !connection.isClosing();
    }

    /**
     * Reads until the socket has no more input or the buffer is full. The end of input is thus
     * detected before the preceding request is processed, whose client no longer waits for the
     * response. Reads nothing from a closed connection, whose channel may close a little later.
     *
     * @return whether more input may be available
     * @throws IllegalStateException if called by a handler to which this class delivers
     */
    boolean read(HttpConnection connection, SocketChannel channel) {
        if (isReading) {
            throw new IllegalStateException("a connection is read while another is delivered");
        }
        if (isStoppedFor(connection) || !connection.isOpen()) {
            return false;
        }
        isReading = true;
        try {
            return readOnce(connection, channel);
        } finally {
            isReading = false;
        }
    }

    /**
     * Reads until the socket has no more input or the connection is closed. If the handler fails,
     * the connection is closed, as the transport does for {@link #read}.
     */
    void readAll(HttpConnection connection, SocketChannel channel) {
        int count = 1;
        try {
            while (read(connection, channel) && count < MAX_READS) {
                count++;
            }
        } catch (RuntimeException fault) {
            connection.close("read failed: " + fault);
        }
    }

    private boolean readOnce(HttpConnection connection, SocketChannel channel) {
        buffer.clear();
        String closeReason = null;
        boolean isEndOfInput = false;
        try {
            isEndOfInput = fillBuffer(channel);
            closeReason = isEndOfInput ? "closed by the peer" : null;
        } catch (IOException reset) {
            closeReason = "reset: " + reset.getMessage();
        }
        boolean isFull = !buffer.hasRemaining();
        if (closeReason != null) {
            connection.markClosedByPeer();
        }
        buffer.flip();
        if (buffer.hasRemaining() && connection.onBytesReceived(buffer.remaining())) {
            connection.handler().read(connection, buffer);
        }
        if (closeReason != null) {
            connection.closeAfterPeer(closeReason, isEndOfInput);
        }
        return isFull && closeReason == null;
    }

    /** Reads available input and returns whether the end of input was reached. */
    private boolean fillBuffer(SocketChannel channel) throws IOException {
        int received = 1;
        while (received > 0 && buffer.hasRemaining()) {
            received = channel.read(buffer);
        }
        return received < 0;
    }
}
