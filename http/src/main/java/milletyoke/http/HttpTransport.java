package milletyoke.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
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
import org.glassfish.grizzly.nio.SelectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Accepts, opens and reads TCP connections on a single dedicated thread. */
public final class HttpTransport implements AutoCloseable {
    private static final int BACKLOG = 1024;

    /** How long a listener that stops waits for the transport's thread. */
    private static final long MAX_STOP_WAIT_MILLIS = 10_000;

    private static final Attribute<HttpConnection> HTTP_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("milletyoke.http");

    /**
     * Receives the events of one connection. All methods except {@code closed} are called on the
     * transport's thread.
     */
    public interface Handler {
        /** Called when the connection was accepted or established. */
        void opened(HttpConnection connection);

        /**
         * Called for received bytes. The buffer is reused after the call, so unconsumed bytes are
         * lost.
         */
        void read(HttpConnection connection, ByteBuffer in);

        /**
         * Called once when the connection is closed, on any thread, after all other methods and
         * after the connection has ended for the peer.
         */
        void closed(HttpConnection connection, String reason);
    }

    /** A bound address that accepts connections. */
    public interface Listener {
        /** Returns the port that was bound. */
        int port();

        /** Leaves new connections in the operating system's backlog until {@link #resume}. */
        void pause();

        /** Accepts connections again after {@link #pause}. */
        void resume();

        /**
         * Stops accepting connections permanently. Those in the backlog are accepted before that on
         * the transport's thread, for which this method waits; they are reset if accepting is
         * paused.
         */
        void stop();
    }

    /** A connection that is being established. */
    public interface ConnectAttempt {
        /** Cancels the attempt, unless the connection is already established. */
        void cancel();
    }

    private final AtomicInteger lastId = new AtomicInteger();
    private final TCPNIOTransport transport;

    private final ReadRounds readRounds;

    private final SocketReader reader = new SocketReader();

    /** Starts a transport with the clock of this machine. */
    public HttpTransport(String name) throws IOException {
        this(name, () -> TimeUnit.NANOSECONDS.toMicros(System.nanoTime()));
    }

    /**
     * Starts a transport.
     *
     * @param name the name of the thread, without its suffix {@code -io}
     * @param clock monotonic, in microseconds
     */
    public HttpTransport(String name, LongSupplier clock) throws IOException {
        readRounds = new ReadRounds(clock);
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
                        .setReadBufferSize(SocketReader.BUFFER_BYTES);
        builder.setSelectorRunnersCount(1);
        transport = builder.build();
        transport.setSelectorHandler(readRounds);
        transport.start();
    }

    /**
     * Binds an address and starts to accept connections.
     *
     * @param handlerFactory creates the handler of each accepted connection
     * @throws IOException if the address cannot be bound; the message contains the address
     */
    public Listener listen(String host, int port, Supplier<Handler> handlerFactory)
            throws IOException {
        try {
            TCPNIOServerConnection server =
                    TCPNIOBindingHandler.builder(transport)
                            .processor(filterChain(handlerFactory))
                            .build()
                            .bind(new InetSocketAddress(host, port), BACKLOG);
            readRounds.addListener(server);
            return new BoundListener(server);
        } catch (IOException cause) {
            throw new IOException(
                    "cannot listen at " + host + ":" + port + ": " + cause.getMessage(), cause);
        }
    }

    private final class BoundListener implements Listener {
        private final TCPNIOServerConnection server;
        private volatile boolean isPaused;

        BoundListener(TCPNIOServerConnection server) {
            this.server = server;
        }

        @Override
        public int port() {
            return ((InetSocketAddress) server.getLocalAddress()).getPort();
        }

        @Override
        public void pause() {
            isPaused = true;
            HttpConnection.ignoreFailure(() -> server.disableIOEvent(IOEvent.SERVER_ACCEPT));
        }

        @Override
        public void resume() {
            isPaused = false;
            HttpConnection.ignoreFailure(() -> server.enableIOEvent(IOEvent.SERVER_ACCEPT));
        }

        @Override
        public void stop() {
            execute(() -> HttpConnection.ignoreFailure(this::acceptWaiting))
                    .exceptionally(closed -> null)
                    .completeOnTimeout(null, MAX_STOP_WAIT_MILLIS, TimeUnit.MILLISECONDS)
                    .join();
            transport.unbind(server);
        }

        /** Accepts the connections in the operating system's backlog, which a stop would reset. */
        private void acceptWaiting() throws IOException {
            int openedBefore = lastId.get() - 1;
            for (int count = 0;
                    count < BACKLOG && !isPaused && lastId.get() > openedBefore;
                    count++) {
                openedBefore = lastId.get();
                server.onAccept();
            }
        }
    }

    /**
     * Opens a connection without waiting for it. Calls either {@link Handler#opened}, or {@code
     * onFailure} with the reason.
     *
     * @return the attempt, which the caller can cancel; an attempt to reach an unreachable peer
     *     otherwise occupies a file descriptor until the operating system's connect timeout of
     *     several minutes
     */
    public ConnectAttempt connect(
            String host, int port, Handler handler, Consumer<String> onFailure) {
        var connectFuture =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(filterChain(() -> handler))
                        .build()
                        .connect(new InetSocketAddress(host, port));
        connectFuture.addCompletionHandler(
                new EmptyCompletionHandler<>() {
                    @Override
                    public void failed(Throwable cause) {
                        onFailure.accept(String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        onFailure.accept("cancelled");
                    }
                });
        return () -> connectFuture.cancel(false);
    }

    private FilterChain filterChain(Supplier<Handler> handlerFactory) {
        return FilterChainBuilder.stateless()
                .add(new ReadFilter())
                .add(new HandlerFilter(handlerFactory))
                .build();
    }

    /** Replaces Grizzly's own read filter by the {@link SocketReader}. */
    private final class ReadFilter extends TransportFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            HttpConnection connection = HTTP_CONNECTION.get(context.getConnection());
            if (connection != null && reader.isStoppedFor(connection)) {
                // Otherwise the socket would stay ready, and the thread would never wait.
                HttpConnection.ignoreFailure(
                        () -> context.getConnection().disableIOEvent(IOEvent.READ));
            } else if (connection != null
                    && ((NIOConnection) context.getConnection()).getChannel()
                            instanceof SocketChannel channel) {
                reader.read(connection, channel);
            }
            return context.getStopAction();
        }
    }

    /** Creates the {@link HttpConnection} of each connection; the last filter of the chain. */
    private final class HandlerFilter extends BaseFilter {
        private final Supplier<Handler> handlerFactory;

        HandlerFilter(Supplier<Handler> handlerFactory) {
            this.handlerFactory = handlerFactory;
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
                    new HttpConnection(
                            lastId.incrementAndGet(),
                            grizzlyConnection,
                            handlerFactory.get(),
                            readRounds,
                            reader);
            HTTP_CONNECTION.set(grizzlyConnection, connection);
            CloseListener<Closeable, CloseType> closeListener =
                    (closeable, type) -> connection.close("closed (" + type + ")");
            grizzlyConnection.addCloseListener(closeListener);
            connection.handler().opened(connection);
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable cause) {
            HttpConnection connection = HTTP_CONNECTION.get(context.getConnection());
            if (connection != null) {
                connection.close("read failed: " + cause);
            }
        }
    }

    /**
     * Runs a task on the transport's thread, between two reads; at once if called on that thread.
     *
     * @return completed when the task has run; completed exceptionally if it failed, or if the
     *     transport was closed before
     */
    public CompletableFuture<Void> execute(Runnable task) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        transport
                .getSelectorHandler()
                .execute(
                        readRounds.runner(),
                        () -> {
                            task.run();
                            return true;
                        },
                        new EmptyCompletionHandler<>() {
                            @Override
                            public void completed(SelectorHandler.Task done) {
                                result.complete(null);
                            }

                            @Override
                            public void failed(Throwable cause) {
                                result.completeExceptionally(cause);
                            }

                            @Override
                            public void cancelled() {
                                result.cancel(false);
                            }
                        });
        return result;
    }

    /**
     * Reads no connection any more but those that close gracefully. What arrives from now on stays
     * unread, so that the peer sees a reset when this process ends. Called on the transport's
     * thread.
     */
    public void stopReading() {
        reader.stop();
    }

    /**
     * Returns the longest time from one selection of ready connections to the next since the start,
     * in microseconds. It exceeds 50 ms if the thread did not run in time or read for longer.
     */
    public long longestRoundMicros() {
        return readRounds.longestRoundMicros();
    }

    /**
     * Closes all connections and stops the thread, as if this process were killed: what waits to be
     * written is lost, and a peer cannot tell whether its last bytes were read.
     */
    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException | RuntimeException ignored) {
            // The sockets are closed even so; nothing else needs to be released.
        }
    }
}
