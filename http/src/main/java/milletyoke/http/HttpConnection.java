package milletyoke.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One TCP connection. It is open, then possibly closing gracefully (its output is shut down behind
 * the last write, and input is discarded), then closed. Each of these steps happens once, and none
 * is undone.
 *
 * <p>Any thread may write and close.
 */
public final class HttpConnection {
    /** Is notified of the end of one write, on any thread. */
    public interface WriteListener {
        /** The last byte was handed to the operating system. */
        void written();

        /** The connection broke before the last byte was handed to the operating system. */
        default void failed(String reason) {}
    }

    /** How many bytes a peer may send to a connection that closes gracefully before it is reset. */
    private static final int MAX_DRAINED_BYTES = 1 << 20;

    private final int id;
    private final Connection<SocketAddress> connection;
    private final HttpTransport.Handler handler;
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final AtomicBoolean isOutputShutDown = new AtomicBoolean();

    /** Writes that were not completely handed to the operating system yet. */
    private final AtomicInteger pendingWrites = new AtomicInteger();

    private volatile boolean isClosing;
    private volatile boolean isEndedByPeer;
    private volatile boolean isClosedByPeer;

    /** Bytes discarded while closing gracefully; of the transport's thread. */
    private int drainedBytes;

    @SuppressWarnings("unchecked") // a TCP connection's addresses are socket addresses
    HttpConnection(int id, Connection<?> connection, HttpTransport.Handler handler) {
        this.id = id;
        this.connection = (Connection<SocketAddress>) connection;
        this.handler = handler;
    }

    /** Unique among the connections of one transport, and greater than those of earlier ones. */
    public int id() {
        return id;
    }

    HttpTransport.Handler handler() {
        return handler;
    }

    /** Whether the connection is not closed; it may be closing gracefully. */
    public boolean isOpen() {
        return !isClosed.get() && connection.isOpen();
    }

    /** Whether something that was written was not handed to the operating system yet. */
    public boolean isWriting() {
        return pendingWrites.get() > 0;
    }

    /** Whether a closed connection ended because the peer shut it down, and not by a reset. */
    public boolean isEndedByPeer() {
        return isEndedByPeer;
    }

    /**
     * Whether the peer shut down its output or reset the connection. This is known before its last
     * bytes are delivered to the handler.
     */
    public boolean isClosedByPeer() {
        return isClosedByPeer;
    }

    void markClosedByPeer() {
        isClosedByPeer = true;
    }

    /** Writes the bytes without waiting; the buffer must not be changed afterwards. */
    public void write(ByteBuffer bytes, WriteListener listener) {
        write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes), listener);
    }

    /** Writes both buffers as one, without copying the body. */
    public void write(ByteBuffer head, ByteBuffer body, WriteListener listener) {
        if (!body.hasRemaining()) {
            write(head, listener);
            return;
        }
        MemoryManager<?> memory = MemoryManager.DEFAULT_MEMORY_MANAGER;
        Buffer message =
                Buffers.appendBuffers(
                        memory, Buffers.wrap(memory, head), Buffers.wrap(memory, body));
        write(message, listener);
    }

    private void write(Buffer bytes, WriteListener listener) {
        pendingWrites.incrementAndGet();
        connection.write(bytes, new WriteCompletion(listener));
    }

    /** Follows one write. */
    private final class WriteCompletion
            extends EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>> {
        private final WriteListener listener;

        WriteCompletion(WriteListener listener) {
            this.listener = listener;
        }

        @Override
        public void completed(WriteResult<Buffer, SocketAddress> result) {
            if (pendingWrites.decrementAndGet() == 0 && isClosing) {
                shutDownOutput();
            }
            listener.written();
        }

        @Override
        public void failed(Throwable cause) {
            listener.failed(String.valueOf(cause.getMessage()));
            close("write failed: " + cause.getMessage());
        }

        @Override
        public void cancelled() {
            listener.failed("cancelled");
            close("write cancelled");
        }
    }

    /** An operation on a socket. */
    interface SocketOperation {
        void run() throws IOException;
    }

    /**
     * Runs an operation that can fail only if the socket is closed, which is reported elsewhere.
     */
    static void ignoreFailure(SocketOperation operation) {
        try {
            operation.run();
        } catch (IOException | RuntimeException closed) {
            // The handler is notified of the close by the transport.
        }
    }

    /**
     * Closes gracefully (RFC 9112 section 9.6): shuts down the output once everything was written,
     * and discards further input until the peer closes its side. The caller has to limit the time
     * for that and call {@link #close}.
     *
     * <p>A connection that is closed at once while input is unread is reset, by which the peer may
     * lose the last response.
     */
    public void closeGracefully() {
        isClosing = true;
        if (pendingWrites.get() == 0) {
            shutDownOutput();
        }
    }

    /** Whether a graceful close has begun. */
    public boolean isClosing() {
        return isClosing;
    }

    private void shutDownOutput() {
        if (isOutputShutDown.compareAndSet(false, true)
                && ((NIOConnection) connection).getChannel() instanceof SocketChannel channel) {
            ignoreFailure(channel::shutdownOutput);
        }
    }

    /**
     * Accounts for received bytes, on the transport's thread.
     *
     * @return whether they are to be delivered to the handler
     */
    boolean accepts(int bytes) {
        if (!isClosing) {
            return isOpen();
        }
        drainedBytes += bytes;
        if (drainedBytes > MAX_DRAINED_BYTES) {
            close("the peer keeps sending after a graceful close");
        }
        return false;
    }

    /** Closes at once. Pending writes are lost, and unread input resets the connection. */
    public void close(String reason) {
        if (isClosed.compareAndSet(false, true)) {
            connection.terminateSilently();
            handler.closed(this, reason);
        }
    }

    /** Closes at once with a reset, whether or not input is unread. */
    public void reset(String reason) {
        if (((NIOConnection) connection).getChannel() instanceof SocketChannel channel) {
            ignoreFailure(() -> channel.setOption(StandardSocketOptions.SO_LINGER, 0));
        }
        close(reason);
    }

    /**
     * Closes because the peer did.
     *
     * @param byShutdown whether the peer shut down its output, and did not reset the connection
     */
    void closeAfterPeer(String reason, boolean byShutdown) {
        markClosed(reason, byShutdown);
        connection.terminateSilently();
    }

    void markClosed(String reason, boolean byPeerShutdown) {
        if (isClosed.compareAndSet(false, true)) {
            isEndedByPeer = byPeerShutdown;
            handler.closed(this, reason);
        }
    }

    @Override
    public int hashCode() {
        return id;
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }
}
