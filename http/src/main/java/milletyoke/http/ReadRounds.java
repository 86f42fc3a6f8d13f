package milletyoke.http;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * Tells how long bytes may have waited before they were read. All ready connections are read one
 * after another in a round. Bytes that were not ready when a round began wait for the next one, so
 * that they may have waited since then. Bytes of a new connection may have waited in the accept
 * queue, for as long as that was not seen empty.
 *
 * <p>A wait of up to {@link #TOLERANCE_MICROS} counts as none where the thread seems to have been
 * idle, since an idle thread is woken at once as a rule. A round begins more often than that, so a
 * longer wait shows that the thread did not run in time.
 *
 * <p>Used on the transport's thread, except for the methods that say otherwise.
 */
final class ReadRounds extends DefaultSelectorHandler {
    /** How long bytes may have waited although none is reported. */
    static final long TOLERANCE_MICROS = 75_000;

    /** The longest time from one round to the next if the thread runs in time. */
    private static final long MAX_SELECT_MILLIS = 50;

    /** A selection that takes longer had nothing ready when it began, or its thread was held up. */
    private static final long MIN_IDLE_MICROS = 500;

    private final LongSupplier clock;
    private final CompletableFuture<SelectorRunner> firstRunner = new CompletableFuture<>();
    private final List<TCPNIOServerConnection> listeners = new CopyOnWriteArrayList<>();

    /** When the current round began. */
    private long roundBeganMicros;

    private long earliestArrivalMicros;

    /** When the accept queue was last seen empty. */
    private long acceptQueueEmptyMicros;

    private long roundNumber;

    /** Written on the transport's thread only. */
    private volatile long longestRoundMicros;

    /**
     * Creates the handler of a transport that begins to run now.
     *
     * @param clock monotonic, in microseconds
     */
    ReadRounds(LongSupplier clock) {
        super(MAX_SELECT_MILLIS, TimeUnit.MILLISECONDS);
        this.clock = clock;
        roundBeganMicros = clock.getAsLong();
        earliestArrivalMicros = roundBeganMicros;
        acceptQueueEmptyMicros = roundBeganMicros;
    }

    /**
     * Adds a listener whose accept queue counts; one that is closed counts no more. May be called
     * on any thread.
     */
    void addListener(TCPNIOServerConnection listener) {
        listeners.add(listener);
    }

    @Override
    public boolean preSelect(SelectorRunner runner) throws IOException {
        firstRunner.complete(runner);
        return super.preSelect(runner);
    }

    /** Returns what runs the rounds, as soon as the transport's thread runs. Any thread. */
    SelectorRunner runner() {
        return firstRunner.join();
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        boolean watchesAcceptQueues = listeners.stream().allMatch(ReadRounds::isWatched);
        long selectBeganMicros = clock.getAsLong();
        Set<SelectionKey> ready = super.select(runner);
        long nowMicros = clock.getAsLong();
        boolean wasIdle = nowMicros - selectBeganMicros > MIN_IDLE_MICROS;
        earliestArrivalMicros =
                wasIdle ? unlessTolerable(roundBeganMicros, nowMicros) : roundBeganMicros;
        if (watchesAcceptQueues && !hasAcceptable(ready)) {
            acceptQueueEmptyMicros = selectBeganMicros;
        }
        longestRoundMicros = Math.max(longestRoundMicros, nowMicros - roundBeganMicros);
        roundBeganMicros = nowMicros;
        roundNumber++;
        return ready;
    }

    /** Returns whether a selection tells if the accept queue of a listener is empty. */
    private static boolean isWatched(TCPNIOServerConnection listener) {
        SelectionKey key = listener.getSelectionKey();
        try {
            return key != null && (key.interestOps() & SelectionKey.OP_ACCEPT) != 0;
        } catch (CancelledKeyException closed) {
            return true; // nothing is accepted any more
        }
    }

    private static boolean hasAcceptable(Set<SelectionKey> ready) {
        for (SelectionKey key : ready) {
            if (key.channel() instanceof ServerSocketChannel) {
                return true;
            }
        }
        return false;
    }

    private static long unlessTolerable(long earliestMicros, long nowMicros) {
        return nowMicros - earliestMicros <= TOLERANCE_MICROS ? nowMicros : earliestMicros;
    }

    /** Returns the number of the current round. */
    long roundNumber() {
        return roundNumber;
    }

    /** Returns the longest time from one round to the next. May be called on any thread. */
    long longestRoundMicros() {
        return longestRoundMicros;
    }

    /** Returns the earliest arrival of bytes that are read in this round. */
    long earliestArrivalMicros() {
        return earliestArrivalMicros;
    }

    /**
     * Returns the earliest arrival of bytes of a connection that is accepted in this round, which
     * may have come while the connection waited in the accept queue.
     */
    long earliestQueuedArrivalMicros() {
        long queuedMicros = unlessTolerable(acceptQueueEmptyMicros, clock.getAsLong());
        return Math.min(earliestArrivalMicros, queuedMicros);
    }

    /** Returns the time of the monotonic clock. May be called on any thread. */
    long nowMicros() {
        return clock.getAsLong();
    }

    /** Returns how long bytes may have waited that arrived at a time, in microseconds. */
    long unreadMicros(long arrivalMicros) {
        return clock.getAsLong() - arrivalMicros;
    }
}
