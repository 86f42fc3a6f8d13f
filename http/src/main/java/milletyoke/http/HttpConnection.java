package milletyoke.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A TCP connection. Its state is first open, then optionally closing gracefully (the output is shut
 * down after the last write, and input is discarded), then closed. Each transition happens at most
 * once and cannot be reversed.
 *
 * <p>Any thread may write and close. The transport closes the socket a little later, on its own
 * thread; therefore the thread that closes a connection first ends it for the peer, in {@link
 * #endForPeer}. The handler hears of the close only after that.
 */
public final class HttpConnection {
    /** Receives the outcome of one write, on any thread. */
    public interface WriteListener {
        /** Called when the last byte was handed to the operating system. */
        void written();

        /**
         * Called when the connection failed before the last byte was handed to the operating
         * system.
         */
        default void failed(String reason) {}
    }

    /** Maximum number of bytes that a peer may send during a graceful close before a reset. */
    private static final int MAX_DRAINED_BYTES = 1 << 20;

    /** Rounds after which bytes were read that had arrived before the connection was accepted. */
    private static final int ROUNDS_UNTIL_FIRST_READ = 2;

    private final int id;
    private final Connection<SocketAddress> connection;
    private final HttpTransport.Handler handler;
    private final ReadRounds readRounds;
    private final SocketReader reader;

    /** The round in which the connection was opened, and when that may have been possible. */
    private final long openedInRound;

    private final long earliestOpenMicros;

    private boolean isOutputShutDown;

    /** Number of writes that have not yet been handed to the operating system completely. */
    private final AtomicInteger pendingWrites = new AtomicInteger();

    private final OutputDelivery delivery = new OutputDelivery();
    private volatile boolean isClosing;
    private volatile boolean isClosedByPeer;

    /** Bytes discarded while closing gracefully; written on the transport's thread only. */
    private volatile int drainedBytes;

    /** Set under the connection's lock when it is closed. */
    private volatile ConnectionEnding ending;

    @SuppressWarnings("unchecked") // a TCP connection's addresses are socket addresses
    HttpConnection(
            int id,
            Connection<?> connection,
            HttpTransport.Handler handler,
            ReadRounds readRounds,
            SocketReader reader) {
        this.id = id;
        this.readRounds = readRounds;
        this.reader = reader;
        openedInRound = readRounds.roundNumber();
        earliestOpenMicros = readRounds.earliestQueuedArrivalMicros();
        this.connection = (Connection<SocketAddress>) connection;
        this.handler = handler;
    }

    /**
     * Returns an id that is unique in the transport and greater than those of earlier connections.
     */
    public int id() {
        return id;
    }

    HttpTransport.Handler handler() {
        return handler;
    }

    /** Returns whether the connection is not closed; it may be closing gracefully. */
    public boolean isOpen() {
        return ending == null && connection.isOpen();
    }

    /** Returns whether a write has not yet been handed to the operating system completely. */
    public boolean isWriting() {
        return pendingWrites.get() > 0;
    }

    /** Returns whether all that was written has reached the peer, so that no reset destroys it. */
    public boolean isOutputDelivered() {
        return !isWriting() && !delivery.mayBeIncomplete(readRounds.nowMicros());
    }

    /**
     * Returns whether the connection was closed because the peer shut down its output, not by a
     * reset.
     */
    public boolean isEndedByPeer() {
        return ending != null && ending.signal() == ConnectionEnding.Signal.ENDED_BY_PEER;
    }

    /**
     * Returns whether the peer shut down its output or reset the connection. Already true while the
     * last bytes of the peer are delivered to the handler.
     */
    public boolean isClosedByPeer() {
        return isClosedByPeer;
    }

    /** Returns how the connection ended; null while it is not closed. */
    public ConnectionEnding ending() {
        return ending;
    }

    /**
     * Returns how long the bytes that are being delivered to the handler may have waited unread, in
     * microseconds. Called on the transport's thread.
     */
    public long maxUnreadMicros() {
        boolean isFirstRead = readRounds.roundNumber() <= openedInRound + ROUNDS_UNTIL_FIRST_READ;
        return readRounds.unreadMicros(
                isFirstRead ? earliestOpenMicros : readRounds.earliestArrivalMicros());
    }

    void markClosedByPeer() {
        isClosedByPeer = true;
    }

    /** Writes the bytes without waiting; the buffer must not be changed afterwards. */
    public void write(ByteBuffer bytes, WriteListener listener) {
        write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes), listener);
    }

    /** Writes both buffers as one message, without copying the body. */
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
        delivery.writing(bytes.remaining(), readRounds.nowMicros());
        connection.write(bytes, new WriteCompletion(listener));
    }

    /** Handles the completion of one write. */
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

    interface SocketOperation {
        void run() throws IOException;
    }

    /**
     * Runs an operation that fails only if the socket is closed, and ignores the failure. The
     * transport reports the close to the handler.
     */
    static void ignoreFailure(SocketOperation operation) {
        try {
            operation.run();
        } catch (IOException | RuntimeException closed) {
            // The transport notifies the handler of the close.
        }
    }

    /**
     * Closes gracefully (RFC 9112 section 9.6): shuts down the output after all pending writes, and
     * discards further input until the peer closes its side. The caller must limit the time for
     * that and call {@link #close}.
     *
     * <p>Closing immediately while input is unread would reset the connection, and the peer could
     * lose the last response.
     */
    public void closeGracefully() {
        isClosing = true;
        if (pendingWrites.get() == 0) {
            shutDownOutput();
        }
    }

    /** Returns whether a graceful close has begun. */
    public boolean isClosing() {
        return isClosing;
    }

    /** Sends the end of the output to the peer. Does not wait for other threads' I/O. */
    private synchronized void shutDownOutput() {
        SocketChannel channel = channel();
        if (!isOutputShutDown && channel != null) {
            isOutputShutDown = true;
            ignoreFailure(channel::shutdownOutput);
        }
    }

    /**
     * Counts received bytes during a graceful close, and closes the connection if they exceed the
     * limit. Called on the transport's thread.
     *
     * @return whether the bytes are to be delivered to the handler
     */
    boolean onBytesReceived(int bytes) {
        delivery.confirmed();
        if (!isClosing) {
            return isOpen();
        }
        int total = drainedBytes + bytes;
        drainedBytes = total;
        if (total > MAX_DRAINED_BYTES) {
            close("peer sent more than " + MAX_DRAINED_BYTES + " bytes after a graceful close");
        }
        return false;
    }

    /**
     * Closes immediately, on any thread, without waiting for the transport's thread. When this
     * method returns, the connection has ended for the peer, whichever thread closed it. Pending
     * writes are lost. The peer sees the end of the output, and a reset after it if input is
     * unread; it cannot tell whether its last bytes were read. See {@link #endBetweenMessages}.
     */
    public void close(String reason) {
        end(
                reason,
                isClosedByPeer
                        ? ConnectionEnding.Signal.RESET_BY_PEER
                        : ConnectionEnding.Signal.END_OF_OUTPUT);
    }

    /**
     * Ends the connection between two messages, so that its peer can tell what was not read. What
     * has arrived is read and delivered to the handler first. Then, if the handler agrees, the
     * connection is reset: a message that arrives after the last read finds a reset and no end of
     * output, which could be mistaken for the end of a connection on which the message was read.
     *
     * <p>Has no effect while a reset could destroy bytes on their way to the peer. Must be called
     * on the transport's thread, but not by a handler's {@code read}.
     *
     * @param canEnd asked after the last read; the handler must not begin a message after it agreed
     * @return whether the connection was ended; false also if the peer has ended it
     */
    public boolean endBetweenMessages(String reason, BooleanSupplier canEnd) {
        readAvailable();
        if (!isOpen() || isClosing || !isOutputDelivered() || !canEnd.getAsBoolean()) {
            return false;
        }
        reset(reason);
        return true;
    }

    /**
     * Reads what has arrived and delivers it to the handler, on the transport's thread. Must not be
     * called by a handler's {@code read}. If the handler fails, the connection closes.
     */
    public void readAvailable() {
        SocketChannel channel = channel();
        if (channel != null) {
            reader.readAll(this, channel);
        }
    }

    /**
     * Closes immediately with a reset, whether or not input is unread. The peer sees the reset once
     * the transport's thread has closed the socket.
     */
    public void reset(String reason) {
        SocketChannel channel = channel();
        if (channel != null) {
            ignoreFailure(() -> channel.setOption(StandardSocketOptions.SO_LINGER, 0));
        }
        skipOutputShutdown();
        end(reason, ConnectionEnding.Signal.RESET);
    }

    /** Leaves the end of the output to the reset, before which the peer must not see one. */
    private synchronized void skipOutputShutdown() {
        isOutputShutDown = true;
    }

    /**
     * Closes the connection after the peer closed it.
     *
     * @param byShutdown true if the peer shut down its output, false if it reset the connection
     */
    void closeAfterPeer(String reason, boolean byShutdown) {
        end(
                reason,
                byShutdown
                        ? ConnectionEnding.Signal.ENDED_BY_PEER
                        : ConnectionEnding.Signal.RESET_BY_PEER);
    }

    private void end(String reason, ConnectionEnding.Signal signal) {
        if (endForPeer(reason, signal)) {
            connection.terminateSilently();
            handler.closed(this, reason);
        }
    }

    /**
     * Ends the connection for the peer: after this, no byte is handed to the operating system any
     * more. Holds the lock, so that a thread that closes the connection at the same time does not
     * return before that.
     *
     * @return false if the connection was already closed
     */
    private synchronized boolean endForPeer(String reason, ConnectionEnding.Signal signal) {
        if (ending != null) {
            return false;
        }
        ending =
                new ConnectionEnding(
                        reason,
                        signal,
                        Thread.currentThread().getName(),
                        unreadBytes(),
                        drainedBytes,
                        pendingWrites.get());
        shutDownOutput();
        return true;
    }

    /** Returns the channel; null if the transport has already released it. */
    private SocketChannel channel() {
        return ((NIOConnection) connection).getChannel() instanceof SocketChannel channel
                ? channel
                : null;
    }

    private int unreadBytes() {
        SocketChannel channel = channel();
        try {
            return channel.socket().getInputStream().available();
        } catch (IOException | RuntimeException closed) {
            return ConnectionEnding.UNKNOWN;
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
