package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Request;

/** One access as its initiator's sockets show it. */
final class ObservedRequest {
    final Incarnation incarnation;
    final String id;
    final Request request;
    final int frame;
    final long at;
    final List<ObservedAttempt> attempts = new ArrayList<>();
    int answers;
    int answerFrame = -1;
    long overAt = Long.MAX_VALUE;

    /** Its client left, or the connection it came on is gone: nothing is owed any more. */
    long cancelledAt = Long.MAX_VALUE;

    boolean drawn;

    ObservedRequest(Incarnation incarnation, String id, Request access, int frame, long at) {
        this.incarnation = incarnation;
        this.id = id;
        this.request = access;
        this.frame = frame;
        this.at = at;
    }

    boolean isOver() {
        return answers > 0 || cancelledAt != Long.MAX_VALUE;
    }

    /**
     * Whether any relay but those from {@code upTo} on may have had its effect, as known at the
     * time.
     */
    boolean isPossiblyExecuted(int upTo, long now) {
        return attempts.subList(0, upTo).stream()
                .anyMatch(attempt -> attempt.isPossiblyExecuted(now));
    }

    /** One relay, from the frame that carried it to its outcome. */
    static final class ObservedAttempt {
        final Attempt attempt;
        final String target;
        final int connection;
        final int frame;
        final long at;

        /**
         * What the sockets told of its end: a reply, a cancel sent (CANCELLED), its refusal
         * (NO_CONNECTION) or the end (RESET).
         */
        Outcome outcome;

        long endedAt;
        int endFrame = -1;

        ObservedAttempt(Attempt relay, String target, int connection, int frame, long at) {
            this.attempt = relay;
            this.target = target;
            this.connection = connection;
            this.frame = frame;
            this.at = at;
        }

        long givenUpAt() {
            return at + attempt.getTimeLeftMicros();
        }

        boolean hasEnded(long now) {
            return outcome != null || now >= givenUpAt();
        }

        boolean isPossiblyExecuted(long now) {
            return !hasEnded(now)
                    || outcome != Outcome.OVERLOADED
                            && outcome != Outcome.NOT_STARTED
                            && outcome != Outcome.NO_CONNECTION;
        }

        /** Ended without a word of its target, so that it may still run; and when, else -1. */
        long unsureSince(long now) {
            boolean silent = outcome == Outcome.CANCELLED || outcome == Outcome.RESET;
            return silent ? endedAt : outcome == null && now >= givenUpAt() ? givenUpAt() : -1;
        }

        void end(Outcome how, long when, int by) {
            if (outcome == null) {
                outcome = how;
                endedAt = when;
                endFrame = by;
            }
        }
    }
}
