package milletyoke.gateway.dispatch;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import milletyoke.scheduler.api.Outcome;
import milletyoke.wire.proto.AttemptReply;
import milletyoke.wire.proto.Load;

/**
 * Holds the attempts without an outcome by request id and attempt number. Ends each attempt and
 * probe once and reports its outcome, after its connection was closed if it is abandoned. Owned by
 * the event loop.
 */
final class OutstandingAttempts {
    private static final double UNKNOWN_QUEUE_LENGTH = -1;

    private final AttemptListener listener;
    private final boolean isExclusive;
    private final AttemptTimeouts timeouts;
    private final Map<String, OutboundAttempt> attemptsByKey = new HashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param isExclusive whether a connection carries only one attempt at a time
     * @param timeouts the queue from which attempts and probes are removed when they end
     */
    OutstandingAttempts(AttemptListener listener, boolean isExclusive, AttemptTimeouts timeouts) {
        this.listener = listener;
        this.timeouts = timeouts;
        this.isExclusive = isExclusive;
    }

    void add(OutboundAttempt attempt) {
        attemptsByKey.put(key(attempt.requestId, attempt.attemptNumber), attempt);
    }

    /** Returns an attempt without an outcome; null if there is none. */
    OutboundAttempt find(String requestId, int attemptNumber) {
        return attemptsByKey.get(key(requestId, attemptNumber));
    }

    /** Reports that an attempt was written; does nothing for a probe. */
    void reportWritten(OutboundAttempt attempt, long writtenAtMicros) {
        if (!attempt.isProbe()) {
            listener.onAttemptWritten(attempt.requestId, attempt.attemptNumber, writtenAtMicros);
        }
    }

    /** Ends an attempt or probe without a reply; does nothing if it has ended. */
    void end(long nowMicros, OutboundAttempt attempt, Outcome outcome) {
        end(nowMicros, attempt, outcome, null, null);
    }

    /** Ends an attempt with the target's reply; does nothing if it has ended. */
    void endReplied(long nowMicros, OutboundAttempt attempt, AttemptReply reply) {
        Load load = reply.hasLoad() ? reply.getLoad() : null;
        end(nowMicros, attempt, outcome(reply), load, reply.getPayload());
    }

    /**
     * Converts an outcome. One that only the initiator can determine counts as ERROR in a reply.
     */
    private static Outcome outcome(AttemptReply reply) {
        return switch (reply.getOutcome()) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case OVERLOADED -> Outcome.OVERLOADED;
            case NOT_STARTED -> Outcome.NOT_STARTED;
            default -> Outcome.ERROR;
        };
    }

    /**
     * Ends an attempt or probe; does nothing if it has ended.
     *
     * @param load null if the target reported none
     * @param payload null if there was no reply to an attempt
     */
    void end(
            long nowMicros,
            OutboundAttempt attempt,
            Outcome outcome,
            Load load,
            ByteString payload) {
        if (attempt.isEnded) {
            return;
        }
        attempt.markEnded();
        timeouts.remove(attempt);
        if (attempt.isSent()) {
            attempt.connection.inFlight.remove(attempt.frameNumber);
            closeIfAbandoned(attempt, outcome);
        }
        if (attempt.isProbe()) {
            reportProbeEnd(nowMicros, attempt, outcome, load);
        } else {
            reportAttemptEnd(nowMicros, attempt, outcome, load, payload);
        }
    }

    private void reportProbeEnd(long nowMicros, OutboundAttempt probe, Outcome outcome, Load load) {
        boolean hasQueueLength = load != null && load.hasQueueLength();
        double queueLength = hasQueueLength ? load.getQueueLength() : UNKNOWN_QUEUE_LENGTH;
        listener.onProbeEnded(probe.target, outcome, probe.latencyMicros(nowMicros), queueLength);
    }

    private void reportAttemptEnd(
            long nowMicros,
            OutboundAttempt attempt,
            Outcome outcome,
            Load load,
            ByteString payload) {
        attemptsByKey.remove(key(attempt.requestId, attempt.attemptNumber));
        listener.onAttemptEnded(
                attempt.requestId,
                attempt.attemptNumber,
                outcome,
                attempt.latencyMicros(nowMicros),
                load,
                payload);
    }

    /**
     * Closes the connection of an abandoned attempt if it carries no other, because the reply may
     * still arrive. The connection has ended for the target before the outcome is reported, since a
     * retry may follow at once.
     */
    private void closeIfAbandoned(OutboundAttempt attempt, Outcome outcome) {
        boolean isAbandoned = outcome == Outcome.CANCELLED || outcome == Outcome.TIMED_OUT;
        if (isExclusive && isAbandoned) {
            attempt.connection.connection.close("attempt in flight was cancelled or timed out");
        }
    }

    private static String key(String requestId, int attemptNumber) {
        return requestId + "/" + attemptNumber;
    }
}
