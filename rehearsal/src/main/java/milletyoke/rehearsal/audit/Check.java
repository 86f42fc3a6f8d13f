package milletyoke.rehearsal.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Answer;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;

/**
 * The check of one rule: is told what the sockets showed, in order, and remembers how near it came.
 */
abstract class Check {
    private static final int MOST_KEPT = 100;

    final int number;
    final String rule;
    RuleBook book;

    /** How often the recording put the rule to the test. */
    long tested;

    long breaches;
    long excused;
    final List<Breach> kept = new ArrayList<>();

    /**
     * @param frames places in the recording, counted from 0
     */
    record Breach(String what, int... frames) {}

    Check(int number, String rule) {
        this.number = number;
        this.rule = rule;
    }

    final void breach(String what, int... frames) {
        breaches++;
        if (kept.size() < MOST_KEPT) {
            kept.add(new Breach(what, frames));
        }
    }

    void taken(Seen seen) {}

    /** The last of the access's relays was just sent. */
    void relayed(Seen seen, Seen.Sent sent) {}

    void answered(Seen seen, Answer answer, long at, int frame) {}

    void relayEnded(Seen seen, Seen.Sent sent) {}

    void listed(Life life, long at) {}

    void lifeEnded(Life life, boolean killed) {}

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
