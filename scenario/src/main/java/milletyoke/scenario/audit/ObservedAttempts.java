package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Attempt;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Request;

/** One access as its initiator's sockets show it. */
final class ObservedAttempts {
    final Incarnation life;
    final String id;
    final Request access;
    final int frame;
    final long at;
    final List<Sent> relays = new ArrayList<>();
    int answers;
    int answerFrame = -1;
    long overAt = Long.MAX_VALUE;

    /** Its client left, or the connection it came on is gone: nothing is owed any more. */
    long leftAt = Long.MAX_VALUE;

    boolean drawn;

    ObservedAttempts(Incarnation life, String id, Request access, int frame, long at) {
        this.life = life;
        this.id = id;
        this.access = access;
        this.frame = frame;
        this.at = at;
    }

    boolean isOver() {
        return answers > 0 || leftAt != Long.MAX_VALUE;
    }

    /**
     * Whether any relay but those from {@code upTo} on may have had its effect, as known at the
     * time.
     */
    boolean mayHaveRun(int upTo, long now) {
        return relays.subList(0, upTo).stream().anyMatch(s -> s.mayHaveRun(now));
    }

    /** One relay, from the frame that carried it to its outcome. */
    static final class Sent {
        final Attempt relay;
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

        Sent(Attempt relay, String target, int connection, int frame, long at) {
            this.relay = relay;
            this.target = target;
            this.connection = connection;
            this.frame = frame;
            this.at = at;
        }

        long givenUpAt() {
            return at + relay.getTimeLeftMicros();
        }

        boolean hasEnded(long now) {
            return outcome != null || now >= givenUpAt();
        }

        boolean mayHaveRun(long now) {
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
