package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;
import milletyoke.wire.proto.Response;

/**
 * The check of one rule: is told what the sockets showed, in order, and remembers how near it came.
 */
abstract class RuleCheck {
    private static final int MOST_KEPT = 100;

    final int number;
    final String rule;
    RuleSettings book;

    /** How often the recording put the rule to the test. */
    long tested;

    long breaches;
    long excused;
    final List<Violation> kept = new ArrayList<>();

    /**
     * @param frames places in the recording, counted from 0
     */
    record Violation(String what, int... frames) {}

    RuleCheck(int number, String rule) {
        this.number = number;
        this.rule = rule;
    }

    final void breach(String what, int... frames) {
        breaches++;
        if (kept.size() < MOST_KEPT) {
            kept.add(new Violation(what, frames));
        }
    }

    void taken(ObservedAttempts seen) {}

    /** The last of the access's relays was just sent. */
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {}

    void answered(ObservedAttempts seen, Response answer, long at, int frame) {}

    void relayEnded(ObservedAttempts seen, ObservedAttempts.Sent sent) {}

    void listed(Incarnation life, long at) {}

    void lifeEnded(Incarnation life, boolean killed) {}

    /** A record of no initiator: what clients and targets saw, and notes. */
    void elsewhere(Record record, int frame) {}

    void noted(String witness, Note note, long at, int frame) {}

    void finish(long at) {}

    /** How near the recording came to a breach, in the rule's own measure. */
    abstract String nearest();

    static String millis(long micros) {
        return String.format("%.1f ms", micros / 1e3);
    }
}
