package milletyoke.gateway.ingress;

import java.util.function.LongSupplier;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.Counters;
import milletyoke.wire.PeerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs peers whose connection was closed for what they did. Guards the log against a
 * peer that connects again and again to be closed: so many lines a second, then how many were left
 * out. Could hide a second cause among many of a first; the counts do not.
 */
public final class ProtocolViolationLog {
    private static final Logger LOG = LoggerFactory.getLogger(ProtocolViolationLog.class);
    private static final int LINES_A_SECOND = 10;

    private final Counters counts;
    private final LongSupplier clock;
    private long second;
    private int lines;
    private int leftOut;

    public ProtocolViolationLog(Counters counts, LongSupplier clock) {
        this.counts = counts;
        this.clock = clock;
    }

    /** To be told of every connection that ended. */
    public void closed(String who, PeerConnection peer) {
        if (peer.protocolViolation() != null) {
            counts.increment(Counter.MALFORMED_PEERS);
            log(who + " " + peer + " was closed: " + peer.protocolViolation());
        }
    }

    private synchronized void log(String line) {
        long now = clock.getAsLong() / 1_000_000;
        if (now != second) {
            if (leftOut > 0) {
                LOG.warn("{} more connections were closed for what their peers did", leftOut);
            }
            second = now;
            lines = 0;
            leftOut = 0;
        }
        if (lines++ < LINES_A_SECOND) {
            LOG.warn("{}", line);
        } else {
            leftOut++;
        }
    }
}
