package milletyoke.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import milletyoke.wire.proto.Role;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** One participant's sockets: its listeners, its connections and the threads that serve them. */
public final class SocketNetwork implements Network {
    /**
     * What was handed over before a clean end has this long to be taken by its readers
     * (microseconds).
     */
    private static final long CLOSE_FLUSH_TIMEOUT_MICROS = 1_000_000;

    /** Connections of one participant; what is beyond is closed as it comes. */
    private static final int DEFAULT_MAX_CONNECTIONS = 16_384;

    private final TCPNIOTransport transport;
    private final int maxConnections;
    private final String name;
    private final FrameObserver tap;
    private final Set<PeerConnection> peers = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timeoutSweeper;

    /**
     * @param name what this participant calls itself in its hellos
     * @param threads threads that serve its sockets
     */
    public SocketNetwork(String name, int threads, FrameObserver tap) throws IOException {
        this(name, threads, tap, DEFAULT_MAX_CONNECTIONS);
    }

    /**
     * @param maxConnections connections at once; a further one that comes in is closed and nothing
     *     is kept of it
     */
    public SocketNetwork(String name, int threads, FrameObserver tap, int mostPeers)
            throws IOException {
        this.maxConnections = mostPeers;
        this.name = name;
        this.tap = tap;
        TCPNIOTransportBuilder builder =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName(name + "-io")
                                        .setCorePoolSize(threads)
                                        .setMaxPoolSize(threads)
                                        .setDaemon(true))
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setServerConnectionBackLog(1024);
        builder.setSelectorRunnersCount(threads);
        transport = builder.build();
        transport.start();
        timeoutSweeper =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name + "-looks");
                            thread.setDaemon(true);
                            return thread;
                        });
        timeoutSweeper.scheduleWithFixedDelay(
                () -> peers.forEach(p -> p.closeIfTimedOut(monotonicMicros())),
                250,
                250,
                TimeUnit.MILLISECONDS);
    }

    /** The monotonic clock that all times of the product are told on (microseconds). */
    public static long monotonicMicros() {
        return System.nanoTime() / 1000;
    }

    @Override
    public Network.Listener listen(
            String host, int port, Role role, PeerListener handler, FrameLimits bounds)
            throws IOException {
        try {
            TCPNIOServerConnection server =
                    (TCPNIOServerConnection)
                            binder(role, handler, bounds).bind(new InetSocketAddress(host, port));
            return new BoundListener(this, server);
        } catch (IOException failed) {
            throw new IOException(
                    "cannot listen at " + host + ":" + port + ": " + failed.getMessage(), failed);
        }
    }

    private org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler binder(
            Role role, PeerListener handler, FrameLimits bounds) {
        return org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler.builder(transport)
                .processor(chain(role, handler, bounds))
                .build();
    }

    @Override
    public Network.ConnectAttempt connect(
            String host,
            int port,
            Role role,
            PeerListener handler,
            FrameLimits bounds,
            Consumer<String> failed) {
        var connector =
                TCPNIOConnectorHandler.builder(transport)
                        .processor(chain(role, handler, bounds))
                        .build();
        PendingConnect attempt = new PendingConnect();
        connector.connect(
                new InetSocketAddress(host, port),
                new EmptyCompletionHandler<Connection>() {
                    @Override
                    public void completed(Connection made) {
                        attempt.made(made);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        failed.accept(String.valueOf(cause.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        failed.accept("given up");
                    }
                });
        return attempt;
    }

    private FilterChain chain(Role role, PeerListener handler, FrameLimits bounds) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter())
                .add(new PeerFilter(this, role, name, handler, bounds, tap))
                .build();
    }

    /** Guards memory and file handles against peers that open connections without end. */
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
        peers.forEach(p -> p.send(PeerConnection.closeFrame("shutting down")));
        long until = monotonicMicros() + CLOSE_FLUSH_TIMEOUT_MICROS;
        while (monotonicMicros() < until
                && peers.stream().anyMatch(p -> p.isOpen() && p.unsentBytes() > 0)) {
            java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
        }
        peers.forEach(p -> p.close("shutting down"));
        shutdown();
    }

    private void shutdown() {
        try {
            transport.shutdownNow();
        } catch (IOException | RuntimeException late) {
            // its sockets are closed; there is nothing left to release
        }
    }

    /** A connection in the making, which can be given up. */
    private static final class PendingConnect implements Network.ConnectAttempt {
        private Connection<?> made;
        private boolean givenUp;

        private synchronized void made(Connection<?> connection) {
            made = connection;
            if (givenUp) {
                connection.closeSilently();
            }
        }

        @Override
        public synchronized void cancel() {
            givenUp = true;
            if (made != null) {
                made.closeSilently();
            }
        }
    }

    /** A bound address. */
    private record BoundListener(SocketNetwork wire, TCPNIOServerConnection server)
            implements Network.Listener {
        @Override
        public int port() {
            SocketAddress local = server.getLocalAddress();
            return ((InetSocketAddress) local).getPort();
        }

        @Override
        public void stop() {
            wire.unbind(server);
        }
    }
}
