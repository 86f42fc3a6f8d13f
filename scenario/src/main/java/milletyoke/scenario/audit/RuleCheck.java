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
    private static final int MAX_KEPT_VIOLATIONS = 100;

    final int number;
    final String description;
    RuleSettings settings;

    /** How often the recording put the rule to the test. */
    long tested;

    long violationCount;
    long excused;
    final List<Violation> keptViolations = new ArrayList<>();

    /**
     * @param frames places in the recording, counted from 0
     */
    record Violation(String description, int... frames) {}

    RuleCheck(int number, String rule) {
        this.number = number;
        this.description = rule;
    }

    final void recordViolation(String what, int... frames) {
        violationCount++;
        if (keptViolations.size() < MAX_KEPT_VIOLATIONS) {
            keptViolations.add(new Violation(what, frames));
        }
    }

    void onRequest(ObservedRequest request) {}

    /** The last of the access's relays was just sent. */
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {}

    void onResponse(ObservedRequest request, Response answer, long at, int frame) {}

    void onAttemptEnded(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {}

    void onEndpointList(Incarnation incarnation, long at) {}

    void onIncarnationEnded(Incarnation incarnation, boolean killed) {}

    /** A record of no initiator: what clients and targets saw, and notes. */
    void onOtherRecord(Record record, int frame) {}

    void onNote(String witness, Note note, long at, int frame) {}

    void finish(long at) {}

    /** How near the recording came to a breach, in the rule's own measure. */
    abstract String closestCall();

    static String millis(long micros) {
        return String.format("%.1f ms", micros / 1e3);
    }
}
