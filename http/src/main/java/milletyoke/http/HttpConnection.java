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
 * One connection that carries bytes; any thread may write and close. It is open, then perhaps
 * closing gracefully (its output is shut behind the last write, what still comes in is dropped),
 * then closed. Each step is taken once and never back.
 */
public final class HttpConnection {
    /** How a write ended. */
    public interface WriteListener {
        /** Its last byte was handed to the system. */
        void written();

        /** Its last byte was not: the connection broke before. */
        default void failed(String why) {}
    }

    /**
     * What a peer may still send to a connection that closes gracefully; beyond it, it is reset
     * (bytes).
     */
    private static final int MAX_DRAINED_BYTES = 1 << 20;

    private final int id;
    private final Connection<SocketAddress> connection;
    private final HttpTransport.Handler handler;
    private final AtomicBoolean closed = new AtomicBoolean(), outputShutDown = new AtomicBoolean();

    /** Writes that the system has not taken whole. */
    private final AtomicInteger pendingWrites = new AtomicInteger();

    /** Nothing that comes in counts any more. */
    private volatile boolean isClosing;

    private volatile boolean isEndedByPeer, isClosedByPeer;

    /** Of the sockets' thread. */
    private int drainedBytes;

    @SuppressWarnings("unchecked") // a TCP connection's addresses are socket addresses
    HttpConnection(int id, Connection<?> connection, HttpTransport.Handler handler) {
        this.id = id;
        this.connection = (Connection<SocketAddress>) connection;
        this.handler = handler;
    }

    public int id() {
        return id;
    }

    HttpTransport.Handler handler() {
        return handler;
    }

    public boolean isOpen() {
        return !closed.get() && connection.isOpen();
    }

    /** Whether the system has not yet taken all that was written. */
    public boolean isWriting() {
        return pendingWrites.get() > 0;
    }

    /**
     * Whether the peer ended its sending, and did not reset the connection; known once it is
     * closed.
     */
    public boolean isEndedByPeer() {
        return isEndedByPeer;
    }

    /**
     * Whether the peer has ended its sending or reset the connection; known before its last bytes
     * are passed on.
     */
    public boolean isClosedByPeer() {
        return isClosedByPeer;
    }

    void markClosedByPeer() {
        isClosedByPeer = true;
    }

    public void write(ByteBuffer bytes, WriteListener then) {
        write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes), then);
    }

    /** Both, one behind the other, without a copy of the second. */
    public void write(ByteBuffer head, ByteBuffer body, WriteListener then) {
        if (!body.hasRemaining()) {
            write(head, then);
            return;
        }
        MemoryManager<?> memory = MemoryManager.DEFAULT_MEMORY_MANAGER;
        write(
                Buffers.appendBuffers(
                        memory, Buffers.wrap(memory, head), Buffers.wrap(memory, body)),
                then);
    }

    private void write(Buffer bytes, WriteListener then) {
        pendingWrites.incrementAndGet();
        connection.write(
                bytes,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        if (pendingWrites.decrementAndGet() == 0 && isClosing) {
                            shutDownOutput();
                        }
                        then.written();
                    }

                    @Override
                    public void failed(Throwable cause) {
                        then.failed(String.valueOf(cause.getMessage()));
                        close("writing failed: " + cause.getMessage());
                    }

                    @Override
                    public void cancelled() {
                        then.failed("cancelled");
                        close("writing was cancelled");
                    }
                });
    }

    static void ignoreFailure(IoStep step) {
        try {
            step.run();
        } catch (IOException | RuntimeException gone) {
            // the connection is gone, which its handler is told by another way
        }
    }

    interface IoStep {
        void run() throws IOException;
    }

    /**
     * Closes gracefully (RFC 9112 section 9.6): output is shut once all that was written is with
     * the system, what comes in from now on is dropped, and the peer's own end closes it; whoever
     * calls this bounds how long that may take by {@link #close}. Guards a last answer: a close
     * over unread bytes resets the connection, and the answer may go with it.
     */
    public void closeGracefully() {
        isClosing = true;
        if (pendingWrites.get() == 0) {
            shutDownOutput();
        }
    }

    public boolean isClosing() {
        return isClosing;
    }

    private void shutDownOutput() {
        if (outputShutDown.compareAndSet(false, true)
                && ((NIOConnection) connection).getChannel() instanceof SocketChannel channel) {
            ignoreFailure(channel::shutdownOutput);
        }
    }

    /** Takes what came; false where it is to be dropped. Called on the sockets' thread. */
    boolean accepts(int bytes) {
        if (!isClosing) {
            return isOpen();
        }
        drainedBytes += bytes;
        if (drainedBytes > MAX_DRAINED_BYTES) {
            close("sends on though it is closed");
        }
        return false;
    }

    /**
     * Closes at once; what waits to be written is lost, and what was not read resets the
     * connection.
     */
    public void close(String why) {
        if (closed.compareAndSet(false, true)) {
            connection.terminateSilently();
            handler.closed(this, why);
        }
    }

    /** Closes at once and resets it, whatever was read. */
    public void reset(String why) {
        if (((NIOConnection) connection).getChannel() instanceof SocketChannel channel) {
            ignoreFailure(() -> channel.setOption(StandardSocketOptions.SO_LINGER, 0));
        }
        close(why);
    }

    /** The peer ended or reset it. */
    void closedByPeer(String why, boolean endedByPeer) {
        markClosed(why, endedByPeer);
        connection.terminateSilently();
    }

    void markClosed(String why, boolean byPeer) {
        if (closed.compareAndSet(false, true)) {
            isEndedByPeer = byPeer;
            handler.closed(this, why);
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
