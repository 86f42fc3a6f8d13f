package milletyoke.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import milletyoke.wire.proto.Role;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Manages one participant's sockets: listening addresses, connections, the I/O threads that serve
 * them, and one thread that closes connections after a timeout.
 */
public final class SocketNetwork implements Network {
    /** Maximum time that {@link #close} waits for earlier frames to be written. */
    private static final long CLOSE_FLUSH_TIMEOUT_MICROS = 1_000_000;

    /** Maximum number of connections of one participant; further ones are closed on accept. */
    private static final int DEFAULT_MAX_CONNECTIONS = 16_384;

    private static final String SHUTTING_DOWN = "shutting down";
    private static final long CLOSE_POLL_NANOS = 1_000_000;
    private static final long TIMEOUT_SWEEP_MILLIS = 250;
    private static final int LISTEN_BACKLOG = 1_024;

    private final TCPNIOTransport transport;
    private final int maxConnections;
    private final String name;
    private final FrameObserver observer;
    private final Set<PeerConnection> peers = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timeoutSweeper;

    /**
     * Starts the I/O threads.
     *
     * @param name the participant's name in its hellos
     * @param threads number of I/O threads
     * @throws IOException if the transport cannot be started
     */
    public SocketNetwork(String name, int threads, FrameObserver observer) throws IOException {
        this(name, threads, observer, DEFAULT_MAX_CONNECTIONS);
    }

    /**
     * Starts the I/O threads, with a limit on connections.
     *
     * @param maxConnections maximum number of open connections; further incoming ones are closed on
     *     accept
     * @throws IOException if the transport cannot be started
     */
    public SocketNetwork(String name, int threads, FrameObserver observer, int maxConnections)
            throws IOException {
        this.maxConnections = maxConnections;
        this.name = name;
        this.observer = observer;
        transport = newTransport(name, threads);
        transport.start();
        timeoutSweeper = Executors.newSingleThreadScheduledExecutor(this::newTimeoutThread);
        ScheduledFuture<?> unused =
                timeoutSweeper.scheduleWithFixedDelay(
                        () -> peers.forEach(peer -> peer.closeIfTimedOut(monotonicMicros())),
                        TIMEOUT_SWEEP_MILLIS,
                        TIMEOUT_SWEEP_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static TCPNIOTransport newTransport(String name, int threads) {
        ThreadPoolConfig ioThreads =
                ThreadPoolConfig.defaultConfig()
                        .setPoolName(name + "-io")
                        .setCorePoolSize(threads)
                        .setMaxPoolSize(threads)
                        .setDaemon(true);
        TCPNIOTransportBuilder builder =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(ioThreads)
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(LISTEN_BACKLOG);
        builder.setSelectorRunnersCount(threads);
        return builder.build();
    }

    private Thread newTimeoutThread(Runnable task) {
        Thread thread = new Thread(task, name + "-timeouts");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the time of this process's monotonic clock in microseconds. */
    public static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    @Override
    public Network.Listener listen(
            String host, int port, Role role, PeerListener listener, FrameLimits limits)
            throws IOException {
        try {
            TCPNIOServerConnection server =
                    binder(role, listener, limits).bind(new InetSocketAddress(host, port));
            return new BoundListener(this, server);
        } catch (IOException cause) {
            throw new IOException(
                    "cannot listen at " + host + ":" + port + ": " + cause.getMessage(), cause);
        }
    }

    private TCPNIOBindingHandler binder(Role role, PeerListener listener, FrameLimits limits) {
        return TCPNIOBindingHandler.builder(transport)
                .processor(chain(role, listener, limits))
                .build();
    }

    @Override
    @SuppressWarnings("rawtypes") // the transport's completion handlers take the raw type
    public Network.ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener listener,
            FrameLimits limits,
            Consumer<String> onFailure) {
        var connector =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(chain(role, listener, limits))
                        .build();
        PendingConnect attempt = new PendingConnect();
        connector.connect(
                new InetSocketAddress(host, port),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection established) {
                        attempt.onConnected(established);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        onFailure.accept(String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        onFailure.accept("cancelled");
                    }
                });
        return attempt;
    }

    private FilterChain chain(Role role, PeerListener listener, FrameLimits limits) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter())
                .add(new PeerFilter(this, role, name, listener, limits, observer))
                .build();
    }

    /**
     * Returns whether the limit on connections is reached. The limit protects memory and file
     * descriptors against peers that open connections without bound.
     */
    boolean isFull() {
        return peers.size() >= maxConnections;
    }

    void add(PeerConnection peer) {
        peers.add(peer);
    }

    void remove(PeerConnection peer) {
        peers.remove(peer);
    }

    void unbind(TCPNIOServerConnection server) {
        transport.unbind(server);
    }

    @Override
    public void abort() {
        timeoutSweeper.shutdownNow();
        transport.unbindAll();
        peers.forEach(PeerConnection::reset);
        shutdown();
    }

    @Override
    public void close() {
        timeoutSweeper.shutdownNow();
        transport.unbindAll();
        peers.forEach(peer -> peer.send(PeerConnection.closeFrame(SHUTTING_DOWN)));
        long deadline = monotonicMicros() + CLOSE_FLUSH_TIMEOUT_MICROS;
        while (monotonicMicros() < deadline && hasUnsentBytes()) {
            LockSupport.parkNanos(CLOSE_POLL_NANOS);
        }
        peers.forEach(peer -> peer.close(SHUTTING_DOWN));
        shutdown();
    }

    private boolean hasUnsentBytes() {
        return peers.stream().anyMatch(peer -> peer.isOpen() && peer.unsentBytes() > 0);
    }

    private void shutdown() {
        try {
            transport.shutdownNow();
        } catch (IOException | RuntimeException ignored) {
            // the sockets are closed even so; nothing else needs to be released
        }
    }

    /** A connection that is being established and may be cancelled. */
    private static final class PendingConnect implements Network.ConnectAttempt {
        private Connection<?> connection;
        private boolean isCancelled;

        private synchronized void onConnected(Connection<?> established) {
            connection = established;
            if (isCancelled) {
                connection.closeSilently();
            }
        }

        @Override
        public synchronized void cancel() {
            isCancelled = true;
            if (connection != null) {
                connection.closeSilently();
            }
        }
    }

    /** A bound address that accepts connections. */
    private record BoundListener(SocketNetwork network, TCPNIOServerConnection server)
            implements Network.Listener {
        @Override
        public int port() {
            SocketAddress local = server.getLocalAddress();
            return ((InetSocketAddress) local).getPort();
        }

        @Override
        public void stop() {
            network.unbind(server);
        }
    }
}
