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
 * Many clients that share one connection to each initiator, or to each target for comparison. Its
 * methods may be called by any thread, except that servers are added before {@link #start}.
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
     * @param isDirect whether requests go straight to targets, by shard
     * @param seed of all draws
     * @throws IOException if its network cannot be opened
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
     * @param isDirect whether requests go straight to targets, by shard
     * @param seed of all draws
     * @throws IOException if its network cannot be opened
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
        AtomicLong numbers = new AtomicLong();
        requests = new RequestGenerator(profile, isDirect, new SplittableRandom(seed), numbers);
        dispatcher =
                new RequestDispatcher(
                        profile,
                        isDirect,
                        environment,
                        tasks,
                        serviceLevels,
                        links,
                        numbers,
                        this::isStopped,
                        this::onFinished);
        arrivals =
                new ArrivalProcess(
                        profile, environment, tasks, requests, dispatcher::submit, this::isStopped);
    }

    /** Adds an initiator, or a target by its shard, and connects to it. */
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

    /** A server is at another port from its next connection on. */
    public void moveServer(int index, int port) {
        links.get(index).moveTo(port);
    }

    /** What clients got so far; live. */
    public ServiceLevelRecorder serviceLevels() {
        return serviceLevels;
    }

    /** Waits until every server is connected. Returns false if one is not in time. */
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

    /** Starts to send requests. */
    public void start() {
        arrivals.start();
    }

    /**
     * Some volumes send so much more that the total rate grows by a fraction.
     *
     * @param volumes their names; an empty set ends the surge
     */
    public void setSurge(Set<String> volumes, double fraction) {
        requests.setSurge(volumes, fraction);
    }

    /** Sends a fraction of the requests to one extent of each volume; 0 ends it. */
    public void setHotKeyFraction(double fraction) {
        requests.setHotKeyFraction(fraction);
    }

    /** Closes every connection at once; they are opened again. */
    public void reconnect() {
        links.forEach(ServerLink::reconnect);
    }

    /**
     * Sends no further requests, waits for those that are pending, and closes the connections.
     *
     * @return requests that are still without an answer
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

    /** Stops at once, whatever is pending. */
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
