package milletyoke.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import milletyoke.wire.ExecutionEnvironment;
import milletyoke.wire.FrameObserver;
import milletyoke.wire.Network;
import milletyoke.wire.SocketEnvironment;
import milletyoke.wire.proto.Role;

/**
 * Simulates many clients that share one connection to each initiator, or to each target for
 * comparison. Thread-safe, except that servers must be added before {@link #start}.
 */
public final class LoadGenerator {
    private static final int NETWORK_THREADS = 2;
    private static final long CONNECT_CHECK_MICROS = 1_000;
    private static final long STOP_CHECK_MICROS = 5_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final boolean isDirect;
    private final ExecutionEnvironment environment;
    private final Network network;
    private final DelayedTasks tasks;
    private final ServiceLevelRecorder serviceLevels;
    private final List<ServerLink> links = new ArrayList<>();
    private final RequestGenerator requests;
    private final RequestDispatcher dispatcher;
    private final ArrivalProcess arrivals;
    private volatile boolean isStopped;

    /**
     * Creates a generator on sockets and the real clock.
     *
     * @param isDirect whether requests are sent directly to targets, bypassing the initiators
     * @param seed of all random choices
     * @throws IOException if the network cannot be opened
     */
    public LoadGenerator(
            LoadProfile profile,
            boolean isDirect,
            long seed,
            ScheduledExecutorService executor,
            FrameObserver observer)
            throws IOException {
        this(profile, isDirect, seed, executor, observer, new SocketEnvironment());
    }

    /**
     * Creates a generator in an environment.
     *
     * @param isDirect whether requests are sent directly to targets, bypassing the initiators
     * @param seed of all random choices
     * @throws IOException if the network cannot be opened
     */
    public LoadGenerator(
            LoadProfile profile,
            boolean isDirect,
            long seed,
            ScheduledExecutorService executor,
            FrameObserver observer,
            ExecutionEnvironment environment)
            throws IOException {
        this.isDirect = isDirect;
        this.environment = environment;
        tasks = new DelayedTasks(executor);
        serviceLevels = new ServiceLevelRecorder(profile);
        network = environment.openNetwork("client", NETWORK_THREADS, observer);
        AtomicLong numberSequence = new AtomicLong();
        requests =
                new RequestGenerator(profile, isDirect, new SplittableRandom(seed), numberSequence);
        dispatcher =
                new RequestDispatcher(
                        profile,
                        isDirect,
                        environment,
                        tasks,
                        serviceLevels,
                        links,
                        numberSequence,
                        this::isStopped,
                        this::onFinished);
        arrivals =
                new ArrivalProcess(
                        profile, environment, tasks, requests, dispatcher::submit, this::isStopped);
    }

    /** Adds an initiator, or the target of the next shard in direct mode, and connects to it. */
    public void addServer(String host, int port) {
        ServerLink link =
                new ServerLink(
                        network,
                        tasks,
                        isDirect ? Role.INITIATOR : Role.CLIENT,
                        dispatcher,
                        this::isStopped,
                        host,
                        port);
        links.add(link);
        link.connect();
    }

    /** Changes the port of a server, used from its next connection on. */
    public void moveServer(int index, int port) {
        links.get(index).moveTo(port);
    }

    /** Returns the live statistics of all requests. */
    public ServiceLevelRecorder serviceLevels() {
        return serviceLevels;
    }

    /** Waits until all servers are connected. Returns false on timeout. */
    public boolean awaitConnected(long timeoutMillis) throws InterruptedException {
        long until = environment.monotonicMicros() + timeoutMillis * MICROS_PER_MILLI;
        while (!links.stream().allMatch(ServerLink::isConnected)) {
            if (environment.monotonicMicros() > until) {
                return false;
            }
            environment.sleep(CONNECT_CHECK_MICROS);
        }
        return true;
    }

    /** Starts the arrival of requests. */
    public void start() {
        arrivals.start();
    }

    /**
     * Raises the rate of some volumes so that the total rate grows by a fraction.
     *
     * @param volumes names; empty to end the surge
     */
    public void setSurge(Set<String> volumes, double fraction) {
        requests.setSurge(volumes, fraction);
    }

    /**
     * Sends a fraction of the requests to one hot extent in each volume's first shard; 0 ends it.
     */
    public void setHotKeyFraction(double fraction) {
        requests.setHotKeyFraction(fraction);
    }

    /** Closes all connections at the same time; each is opened again. */
    public void reconnect() {
        links.forEach(ServerLink::reconnect);
    }

    /**
     * Stops sending requests, waits for the pending ones, and closes the connections.
     *
     * @return the number of requests still unanswered at the timeout
     */
    public int stop(long timeoutMillis) throws InterruptedException {
        isStopped = true;
        arrivals.awaitEnd();
        long until = environment.monotonicMicros() + timeoutMillis * MICROS_PER_MILLI;
        while (dispatcher.unfinishedCount() > 0 && environment.monotonicMicros() < until) {
            environment.sleep(STOP_CHECK_MICROS);
        }
        int unfinished = dispatcher.unfinishedCount();
        network.close();
        return unfinished;
    }

    /** Stops immediately, without waiting for pending requests. */
    public void abort() {
        isStopped = true;
        network.abort();
    }

    private boolean isStopped() {
        return isStopped;
    }

    private void onFinished(ClientRequest request) {
        arrivals.onFinished(request);
    }
}
