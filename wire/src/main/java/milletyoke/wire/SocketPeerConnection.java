package milletyoke.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import milletyoke.wire.proto.Frame;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.nio.NIOConnection;

/** A peer connection over TCP. */
final class SocketPeerConnection extends PeerConnection {
    private static final AtomicInteger NEXT_ID = new AtomicInteger();

    private final Connection<SocketAddress> connection;

    @SuppressWarnings("unchecked") // a TCP connection's addresses are socket addresses
    SocketPeerConnection(
            Connection<?> connection,
            PeerListener listener,
            FrameLimits limits,
            FrameObserver observer) {
        super(
                NEXT_ID.incrementAndGet(),
                listener,
                limits,
                observer,
                SocketNetwork::monotonicMicros);
        this.connection = (Connection<SocketAddress>) connection;
    }

    @Override
    protected boolean isConnected() {
        return connection.isOpen();
    }

    @Override
    protected void write(List<Frame> frames, int size) {
        connection.write(
                new FrameFilter.FrameBatch(frames),
                new EmptyCompletionHandler<WriteResult<FrameFilter.FrameBatch, SocketAddress>>() {
                    @Override
                    public void completed(
                            WriteResult<FrameFilter.FrameBatch, SocketAddress> result) {
                        onWritten(size);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        onWritten(size);
                        close("write failed: " + cause.getMessage());
                    }
                });
    }

    /** Shuts down the output at once; the transport closes the socket later, on its own thread. */
    @Override
    protected void endOutput() {
        try {
            channel().shutdownOutput();
        } catch (IOException | RuntimeException alreadyClosed) {
            // the connection has ended for the peer
        }
    }

    @Override
    protected void disconnect() {
        connection.terminateSilently();
    }

    @Override
    protected void disconnectWithReset() {
        try {
            channel().setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException | RuntimeException alreadyClosed) {
            // the connection is closed below in any case
        }
        connection.terminateSilently();
    }

    private SocketChannel channel() {
        return (SocketChannel) ((NIOConnection) connection).getChannel();
    }
}
