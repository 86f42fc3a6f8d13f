package milletyoke.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
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

/** Sockets that carry bytes both ways, served by one thread. */
public final class HttpTransport implements AutoCloseable {
    private static final int READ_BUFFER_BYTES = 16 * 1024, BACKLOG = 1024;
    private static final Attribute<HttpConnection> HTTP_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("milletyoke.http");

    /**
     * One end of one connection. All but {@code closed} are called on the thread of the sockets.
     */
    public interface Handler {
        void opened(HttpConnection conn);

        /** Bytes came; what is not taken is lost, and the buffer is another's afterwards. */
        void read(HttpConnection conn, ByteBuffer in);

        /** Called once, on any thread; nothing comes after it. */
        void closed(HttpConnection conn, String why);
    }

    /** A bound address. */
    public interface Listener {
        int port();

        /** Lets further connections wait with the system until {@link #resume}. */
        void pause();

        void resume();

        /** Takes no further connections. */
        void stop();
    }

    /** A connection in the making, which can be given up. */
    public interface ConnectAttempt {
        void cancel();
    }

    private final AtomicInteger lastId = new AtomicInteger();
    private final TCPNIOTransport transport;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    public HttpTransport(String name) throws IOException {
        TCPNIOTransportBuilder builder =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName(name + "-io")
                                        .setCorePoolSize(1)
                                        .setMaxPoolSize(1)
                                        .setDaemon(true))
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(BACKLOG)
                        .setReadBufferSize(READ_BUFFER_BYTES);
        builder.setSelectorRunnersCount(1);
        transport = builder.build();
        transport.start();
    }

    /**
     * @throws IOException where the address cannot be had, with a message that names it
     */
    public Listener listen(String host, int port, Supplier<Handler> handlers) throws IOException {
        try {
            TCPNIOServerConnection server =
                    (TCPNIOServerConnection)
                            TCPNIOBindingHandler.builder(transport)
                                    .processor(chain(handlers))
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
     * Connects without waiting; the handler's opened tells of success, {@code failed} of the reason
     * why not.
     */
    public ConnectAttempt connect(String host, int port, Handler handler, Consumer<String> failed) {
        var connector =
                TCPNIOConnectorHandler.builder(transport).processor(chain(() -> handler)).build();
        GrizzlyFuture<Connection> made = connector.connect(new InetSocketAddress(host, port));
        made.addCompletionHandler(
                new EmptyCompletionHandler<>() {
                    @Override
                    public void failed(Throwable cause) {
                        failed.accept(String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        failed.accept("given up");
                    }
                });
        // Guards descriptors against a machine that is cut off: its socket would wait for the
        // system's own time, minutes.
        return () -> made.cancel(false);
    }

    private FilterChain chain(Supplier<Handler> handlers) {
        return FilterChainBuilder.stateless()
                .add(new ReadFilter())
                .add(new HandlerFilter(handlers))
                .build();
    }

    /**
     * Reads by itself, for the transport's own way tells an end and a reset alike. Guards an answer
     * that ends with its connection: after a reset it is not whole. Reads until nothing is left, so
     * that an end that waits behind a request is known before the request is acted upon: its client
     * left while it waited here, or with the system. All connections share one buffer, for one
     * thread reads.
     */
    private final class ReadFilter extends TransportFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpConnection conn = HTTP_CONNECTION.get(ctx.getConnection());
            if (conn == null
                    || !(((NIOConnection) ctx.getConnection()).getChannel()
                            instanceof SocketChannel channel)) {
                return ctx.getStopAction();
            }
            readBuffer.clear();
            String end = null;
            boolean byPeer = false;
            try {
                int came = 1;
                while (came > 0 && readBuffer.hasRemaining()) {
                    came = channel.read(readBuffer);
                }
                byPeer = came < 0;
                end = byPeer ? "its peer ended it" : null;
            } catch (IOException reset) {
                end = "reset: " + reset.getMessage();
            }
            if (end != null) {
                conn.markClosedByPeer();
            }
            if (readBuffer.flip().hasRemaining() && conn.accepts(readBuffer.remaining())) {
                conn.handler().read(conn, readBuffer);
            }
            if (end != null) {
                conn.closedByPeer(end, byPeer);
            }
            return ctx.getStopAction();
        }
    }

    /** The last filter: gives each connection its handler. */
    private final class HandlerFilter extends BaseFilter {
        private final Supplier<Handler> handlers;

        HandlerFilter(Supplier<Handler> handlers) {
            this.handlers = handlers;
        }

        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            opened(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleConnect(FilterChainContext ctx) {
            opened(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        private void opened(Connection<?> connection) {
            HttpConnection conn =
                    new HttpConnection(lastId.incrementAndGet(), connection, handlers.get());
            HTTP_CONNECTION.set(connection, conn);
            connection.addCloseListener(
                    (closeable, type) -> conn.markClosed("closed (" + type + ")", false));
            conn.handler().opened(conn);
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            HttpConnection conn = HTTP_CONNECTION.get(ctx.getConnection());
            if (conn != null) {
                conn.close("reading failed: " + error);
            }
        }
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException | RuntimeException late) {
            // its sockets are closed; there is nothing left to release
        }
    }
}
