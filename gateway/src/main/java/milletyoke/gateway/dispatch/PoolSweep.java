package milletyoke.gateway.dispatch;

import java.util.Collection;
import java.util.function.Consumer;
import milletyoke.gateway.config.InitiatorConfig.Transport;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;

/**
 * Cancels overdue connects, closes idle connections and drops unused pools at intervals. Owned by
 * the event loop.
 */
final class PoolSweep {
    private static final long MIN_INTERVAL_MICROS = 1_000;
    private static final long MAX_INTERVAL_MICROS = 250_000;

    private final Transport transport;
    private final Counters counters;
    private final Collection<ConnectionPool> pools;
    private final Consumer<ConnectionPool> onConnectsCancelled;
    private long nextSweepMicros;

    /**
     * Creates a sweep that is due at once.
     *
     * @param pools all pools, as a view
     * @param onConnectsCancelled called for a pool whose overdue connects were cancelled
     */
    PoolSweep(
            Transport transport,
            Counters counters,
            Collection<ConnectionPool> pools,
            Consumer<ConnectionPool> onConnectsCancelled) {
        this.transport = transport;
        this.counters = counters;
        this.pools = pools;
        this.onConnectsCancelled = onConnectsCancelled;
    }

    /** Returns when the next sweep is due; Long.MAX_VALUE for never. */
    long nextDueMicros() {
        return pools.isEmpty() ? Long.MAX_VALUE : nextSweepMicros;
    }

    void runIfDue(long nowMicros) {
        if (nowMicros < nextSweepMicros) {
            return;
        }
        long intervalMicros = Math.min(transport.connectTimeoutMicros(), MAX_INTERVAL_MICROS);
        nextSweepMicros = nowMicros + Math.max(MIN_INTERVAL_MICROS, intervalMicros);
        pools.forEach(pool -> sweep(pool, nowMicros));
        pools.removeIf(ConnectionPool::isDisposable);
    }

    private void sweep(ConnectionPool pool, long nowMicros) {
        pool.removeEndedWaiting();
        int cancelledCount = pool.cancelExpiredConnects(nowMicros);
        for (int i = 0; i < cancelledCount; i++) {
            counters.increment(Counter.CONNECTS_FAILED);
        }
        if (cancelledCount > 0) {
            onConnectsCancelled.accept(pool);
        }
        pool.closeIdle(nowMicros);
    }
}
