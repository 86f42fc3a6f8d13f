package milletyoke.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Accepts, opens and reads TCP connections, all on one thread of its own. */
public final class HttpTransport implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1024;
    private static final Attribute<HttpConnection> HTTP_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("milletyoke.http");

    /**
     * The user of one connection. All methods but {@code closed} are called on the transport's
     * thread.
     */
    public interface Handler {
        /** The connection was accepted or established. */
        void opened(HttpConnection connection);

        /** Bytes were received. The buffer is reused afterwards; what was not consumed is lost. */
        void read(HttpConnection connection, ByteBuffer in);

        /** The connection is closed. Called once, on any thread, after all other methods. */
        void closed(HttpConnection connection, String reason);
    }

    /** A bound address. */
    public interface Listener {
        /** The port that was bound. */
        int port();

        /** Lets further connections wait in the system's backlog until {@link #resume}. */
        void pause();

        /** Accepts connections again. */
        void resume();

        /** Accepts no further connections, for good. */
        void stop();
    }

    /** A connection that is being established. */
    public interface ConnectAttempt {
        /** Gives up, unless the connection is already established. */
        void cancel();
    }

    private final AtomicInteger lastId = new AtomicInteger();
    private final TCPNIOTransport transport;

    /** Shared by all connections, since one thread reads them. */
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    /**
     * Starts a transport.
     *
     * @param name of its thread, with the suffix {@code -io}
     */
    public HttpTransport(String name) throws IOException {
        ThreadPoolConfig threads =
                ThreadPoolConfig.defaultConfig()
                        .setPoolName(name + "-io")
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1)
                        .setDaemon(true);
        TCPNIOTransportBuilder builder =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(threads)
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(BACKLOG)
                        .setReadBufferSize(READ_BUFFER_BYTES);
        builder.setSelectorRunnersCount(1);
        transport = builder.build();
        transport.start();
    }

    /**
     * Binds an address and accepts connections from now on.
     *
     * @param handlers supplies the handler of each connection
     * @throws IOException if the address cannot be bound; the message names it
     */
    public Listener listen(String host, int port, Supplier<Handler> handlers) throws IOException {
        try {
            TCPNIOServerConnection server =
                    TCPNIOBindingHandler.builder(transport)
                            .processor(filterChain(handlers))
                            .build()
                            .bind(new InetSocketAddress(host, port), BACKLOG);
            return new BoundListener(transport, server);
        } catch (IOException failed) {
            throw new IOException(
                    "cannot listen at " + host + ":" + port + ": " + failed.getMessage(), failed);
        }
    }

    private record BoundListener(TCPNIOTransport transport, TCPNIOServerConnection server)
            implements Listener {
        @Override
        public int port() {
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        }

        @Override
        public void pause() {
            HttpConnection.ignoreFailure(() -> server.disableIOEvent(IOEvent.SERVER_ACCEPT));
        }

        @Override
        public void resume() {
            HttpConnection.ignoreFailure(() -> server.enableIOEvent(IOEvent.SERVER_ACCEPT));
        }

        @Override
        public void stop() {
            transport.unbind(server);
        }
    }

    /**
     * Opens a connection without waiting for it. Either {@code opened} of the handler is called, or
     * {@code failed} with the reason.
     *
     * @return a means to give up; otherwise an unreachable peer would occupy a descriptor for the
     *     operating system's own timeout, which is minutes
     */
    public ConnectAttempt connect(String host, int port, Handler handler, Consumer<String> failed) {
        var connecting =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(filterChain(() -> handler))
                        .build()
                        .connect(new InetSocketAddress(host, port));
        connecting.addCompletionHandler(
                new EmptyCompletionHandler<>() {
                    @Override
                    public void failed(Throwable cause) {
                        failed.accept(String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        failed.accept("cancelled");
                    }
                });
        return () -> connecting.cancel(false);
    }

    private FilterChain filterChain(Supplier<Handler> handlers) {
        return FilterChainBuilder.stateless()
                .add(new ReadFilter())
                .add(new HandlerFilter(handlers))
                .build();
    }

    /**
     * Reads in place of Grizzly's own filter, which does not distinguish the end of input from a
     * reset. A response that lasts until the end of input is incomplete after a reset.
     *
     * <p>It reads until nothing is left. So the end of input is known before a request ahead of it
     * is processed, whose client does not wait for the response any more.
     */
    private final class ReadFilter extends TransportFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpConnection connection = HTTP_CONNECTION.get(context.getConnection());
            if (connection != null
                    && ((NIOConnection) context.getConnection()).getChannel()
                            instanceof SocketChannel channel) {
                read(connection, channel);
            }
            return context.getStopAction();
        }

        private void read(HttpConnection connection, SocketChannel channel) {
            readBuffer.clear();
            String closeReason = null;
            boolean isEndOfInput = false;
            try {
                isEndOfInput = fillReadBuffer(channel);
                closeReason = isEndOfInput ? "closed by the peer" : null;
            } catch (IOException reset) {
                closeReason = "reset: " + reset.getMessage();
            }
            if (closeReason != null) {
                connection.markClosedByPeer();
            }
            readBuffer.flip();
            if (readBuffer.hasRemaining() && connection.accepts(readBuffer.remaining())) {
                connection.handler().read(connection, readBuffer);
            }
            if (closeReason != null) {
                connection.closeAfterPeer(closeReason, isEndOfInput);
            }
        }

        /** Returns whether the end of input was reached. */
        private boolean fillReadBuffer(SocketChannel channel) throws IOException {
            int received = 1;
            while (received > 0 && readBuffer.hasRemaining()) {
                received = channel.read(readBuffer);
            }
            return received < 0;
        }
    }

    /** Connects each connection with its handler; the last filter of the chain. */
    private final class HandlerFilter extends BaseFilter {
        private final Supplier<Handler> handlers;

        HandlerFilter(Supplier<Handler> handlers) {
            this.handlers = handlers;
        }

        @Override
        public NextAction handleAccept(FilterChainContext context) {
            open(context.getConnection());
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleConnect(FilterChainContext context) {
            open(context.getConnection());
            return context.getInvokeAction();
        }

        private void open(Connection<?> grizzlyConnection) {
            HttpConnection connection =
                    new HttpConnection(lastId.incrementAndGet(), grizzlyConnection, handlers.get());
            HTTP_CONNECTION.set(grizzlyConnection, connection);
            CloseListener<Closeable, CloseType> closeListener =
                    (closeable, type) -> connection.markClosed("closed (" + type + ")", false);
            grizzlyConnection.addCloseListener(closeListener);
            connection.handler().opened(connection);
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable error) {
            HttpConnection connection = HTTP_CONNECTION.get(context.getConnection());
            if (connection != null) {
                connection.close("read failed: " + error);
            }
        }
    }

    /** Closes all connections and ends the thread. */
    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException | RuntimeException ignored) {
            // The sockets are closed; there is nothing left to release.
        }
    }
}
