package milletyoke.gateway.console;

import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import milletyoke.gateway.config.ConfigException;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counters;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.reload.ConfigWatcher;
import milletyoke.wire.SocketNetwork;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The web console of one initiator, with its own listener and threads. Responses are built from the
 * latest status snapshot and the rows of past seconds; none waits for the event loop, so that the
 * console responds even while the loop is overloaded.
 */
public final class Console implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Console.class);
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_HEADERS = 64;
    private static final int IDLE_TIMEOUT_SECONDS = 30;
    private static final int WORKER_THREADS = 4;
    private static final int MAX_QUEUED_REQUESTS = 4_096;

    /** Time limit for a request to arrive, and for a stream's client to read an event. */
    private static final long PEER_TIMEOUT_MICROS = 5_000_000;

    private final ConnectionLimitFilter connections =
            new ConnectionLimitFilter(MAX_CONNECTIONS, PEER_TIMEOUT_MICROS);
    private final EventStreams streams;
    private final ScheduledExecutorService updater;
    private final HttpServer server = new HttpServer();
    private final NetworkListener listener;

    /**
     * Starts the console of one initiator.
     *
     * @param configWatcher null where the setup file holds the deployment
     * @throws IOException if its address cannot be bound
     * @throws ConfigException if its token file cannot be used
     */
    public Console(
            InitiatorConfig.Console consoleConfig,
            InitiatorConfig config,
            EventLoop loop,
            Counters counters,
            ConfigWatcher configWatcher)
            throws IOException, ConfigException {
        Tokens tokens = new Tokens(consoleConfig.tokenFile());
        AuditLog auditLog = new AuditLog(config.stateDirectory());
        PageModels pages =
                new PageModels(
                        config,
                        loop,
                        auditLog,
                        counters,
                        configWatcher,
                        SocketNetwork.monotonicMicros());
        streams = new EventStreams(pages, tokens, PEER_TIMEOUT_MICROS);
        updater = Executors.newSingleThreadScheduledExecutor(Console::newUpdateThread);
        ConsoleHandler handler =
                new ConsoleHandler(
                        pages,
                        new Authenticator(tokens, consoleConfig.requestsPerSecond()),
                        new OperatorActions(config.name(), loop, auditLog),
                        streams,
                        connections,
                        updater);
        listener = newListener(consoleConfig);
        start(consoleConfig, handler);
        ScheduledFuture<?> unused =
                updater.scheduleWithFixedDelay(this::update, 1, 1, TimeUnit.SECONDS);
        LOG.info("console started url=http://{}:{}/", consoleConfig.listen().host(), port());
    }

    private static Thread newUpdateThread(Runnable task) {
        Thread thread = new Thread(task, "console-updates");
        thread.setDaemon(true);
        return thread;
    }

    private NetworkListener newListener(InitiatorConfig.Console consoleConfig) {
        NetworkListener created =
                new NetworkListener(
                        "console", consoleConfig.listen().host(), consoleConfig.listen().port());
        created.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        created.setMaxRequestHeaders(MAX_HEADERS);
        created.setMaxFormPostSize(RequestParameters.MAX_BODY_BYTES);
        created.setMaxBufferedPostSize(RequestParameters.MAX_BODY_BYTES);
        created.getKeepAlive().setIdleTimeoutInSeconds(IDLE_TIMEOUT_SECONDS);
        created.setDefaultErrorPageGenerator(
                (request, status, reason, description, exception) -> errorBody(status));
        created.registerAddOn((networkListener, chain) -> chain.add(1, connections));
        created.getTransport().setWorkerThreadPoolConfig(workerThreads());
        created.getTransport().setSelectorRunnersCount(1);
        return created;
    }

    private static String errorBody(int status) {
        return "{\"type\":\"about:blank\",\"title\":\"" + status + "\",\"status\":" + status + "}";
    }

    private static ThreadPoolConfig workerThreads() {
        return ThreadPoolConfig.defaultConfig()
                .setPoolName("console")
                .setCorePoolSize(WORKER_THREADS)
                .setMaxPoolSize(WORKER_THREADS)
                .setQueueLimit(MAX_QUEUED_REQUESTS)
                .setDaemon(true)
                .setPriority(Thread.MAX_PRIORITY);
    }

    private void start(InitiatorConfig.Console consoleConfig, ConsoleHandler handler)
            throws IOException {
        server.addListener(listener);
        server.getServerConfiguration().setSendFileEnabled(false);
        server.getServerConfiguration().addHttpHandler(handler, "/");
        try {
            server.start();
        } catch (IOException failed) {
            updater.shutdownNow();
            server.shutdownNow();
            throw new IOException(
                    "console cannot listen at "
                            + consoleConfig.listen()
                            + ": "
                            + failed.getMessage(),
                    failed);
        }
    }

    /** Returns the port that the console listens on. */
    public int port() {
        return listener.getPort();
    }

    private void update() {
        try {
            streams.updateAll();
            connections.closeTimedOut(SocketNetwork.monotonicMicros());
        } catch (RuntimeException unexpected) {
            LOG.error("console stream update failed", unexpected);
        }
    }

    @Override
    public void close() {
        updater.shutdownNow();
        streams.closeAll();
        server.shutdownNow();
    }
}
