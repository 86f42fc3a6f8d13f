package milletyoke.gateway.ingress;

import java.util.function.LongSupplier;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.wire.PeerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs connections that were closed because the peer violated the protocol. The log is
 * limited to a number of lines per second, in case a peer reconnects repeatedly; suppressed lines
 * are counted. Thread-safe.
 */
public final class ProtocolViolationLog {
    private static final Logger LOG = LoggerFactory.getLogger(ProtocolViolationLog.class);
    private static final int MAX_LINES_PER_SECOND = 10;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Counters counters;
    private final LongSupplier clock;
    private long currentSecond;
    private int lineCount;
    private int suppressedCount;

    /**
     * Creates a log.
     *
     * @param clock time in microseconds
     */
    public ProtocolViolationLog(Counters counters, LongSupplier clock) {
        this.counters = counters;
        this.clock = clock;
    }

    /**
     * Counts and logs a closed connection if its peer violated the protocol.
     *
     * @param role role of the peer, for the log
     */
    public void closed(String role, PeerConnection peer) {
        if (peer.protocolViolation() != null) {
            counters.increment(Counter.MALFORMED_PEERS);
            log(role, peer);
        }
    }

    private synchronized void log(String role, PeerConnection peer) {
        long second = clock.getAsLong() / MICROS_PER_SECOND;
        if (second != currentSecond) {
            startSecond(second);
        }
        if (lineCount++ < MAX_LINES_PER_SECOND) {
            LOG.warn(
                    "connection closed for protocol violation role={} peer={} reason={}",
                    role,
                    peer,
                    peer.protocolViolation());
        } else {
            suppressedCount++;
        }
    }

    private void startSecond(long second) {
        if (suppressedCount > 0) {
            LOG.warn("protocol violations suppressed from the log count={}", suppressedCount);
        }
        currentSecond = second;
        lineCount = 0;
        suppressedCount = 0;
    }
}
