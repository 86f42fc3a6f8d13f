package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Request;

/** One request and its attempts, as recorded at the sockets of its initiator. */
final class ObservedRequest {
    final Incarnation incarnation;
    final String id;
    final Request request;
    final int frame;
    final long atMicros;
    final List<ObservedAttempt> attempts = new ArrayList<>();
    int responses;
    int responseFrame = -1;
    long respondedAtMicros = Long.MAX_VALUE;

    /** When the client cancelled the request or disconnected; no response is due from then on. */
    long cancelledAtMicros = Long.MAX_VALUE;

    /** Whether the rate limit of the volume has been charged for this request. */
    boolean isCharged;

    ObservedRequest(Incarnation incarnation, String id, Request request, int frame, long atMicros) {
        this.incarnation = incarnation;
        this.id = id;
        this.request = request;
        this.frame = frame;
        this.atMicros = atMicros;
    }

    boolean isFinished() {
        return responses > 0 || cancelledAtMicros != Long.MAX_VALUE;
    }

    /**
     * Returns whether any of the first {@code upTo} attempts may have been executed, as known at
     * the given time.
     */
    boolean isPossiblyExecuted(int upTo, long nowMicros) {
        return attempts.subList(0, upTo).stream()
                .anyMatch(attempt -> attempt.isPossiblyExecuted(nowMicros));
    }

    /** One attempt, from the frame that carried it to its outcome. */
    static final class ObservedAttempt {
        final Attempt attempt;
        final String target;
        final int connection;
        final int frame;
        final long atMicros;

        /**
         * How the attempt ended: the outcome in its reply, CANCELLED if a cancellation was sent,
         * NO_CONNECTION if the target closed the connection unprocessed, RESET if the connection
         * ended otherwise; null while it is in flight.
         */
        Outcome outcome;

        long endedAtMicros;
        int endFrame = -1;

        ObservedAttempt(Attempt attempt, String target, int connection, int frame, long atMicros) {
            this.attempt = attempt;
            this.target = target;
            this.connection = connection;
            this.frame = frame;
            this.atMicros = atMicros;
        }

        long deadlineMicros() {
            return atMicros + attempt.getTimeLeftMicros();
        }

        boolean hasEnded(long nowMicros) {
            return outcome != null || nowMicros >= deadlineMicros();
        }

        boolean isPossiblyExecuted(long nowMicros) {
            return !hasEnded(nowMicros)
                    || outcome != Outcome.OVERLOADED
                            && outcome != Outcome.NOT_STARTED
                            && outcome != Outcome.NO_CONNECTION;
        }

        /**
         * Returns when the attempt ended if it ended without a reply, so that its target may still
         * execute it; otherwise -1.
         */
        long possiblyRunningSince(long nowMicros) {
            boolean isWithoutReply = outcome == Outcome.CANCELLED || outcome == Outcome.RESET;
            return isWithoutReply
                    ? endedAtMicros
                    : outcome == null && nowMicros >= deadlineMicros() ? deadlineMicros() : -1;
        }

        void end(Outcome endOutcome, long endMicros, int frameIndex) {
            if (outcome == null) {
                outcome = endOutcome;
                endedAtMicros = endMicros;
                endFrame = frameIndex;
            }
        }
    }
}
