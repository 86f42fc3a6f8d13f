package milletyoke.scenario.audit;

import java.util.ArrayList;
import java.util.List;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;
import milletyoke.wire.proto.Response;

/**
 * Base class of the check of one rule. Receives the recorded events in order, counts violations and
 * tracks how near the recording came to one.
 */
abstract class RuleCheck {
    private static final int MAX_KEPT_VIOLATIONS = 100;

    final int number;
    final String description;
    RuleSettings settings;

    /** How often the recording tested the rule. */
    long tested;

    long violationCount;
    long excused;
    final List<Violation> keptViolations = new ArrayList<>();

    /**
     * A violation of the rule.
     *
     * @param frames indices of the records that show it, from 0; -1 for none
     */
    record Violation(String description, int... frames) {}

    RuleCheck(int number, String description) {
        this.number = number;
        this.description = description;
    }

    final void recordViolation(String description, int... frames) {
        violationCount++;
        if (keptViolations.size() < MAX_KEPT_VIOLATIONS) {
            keptViolations.add(new Violation(description, frames));
        }
    }

    void onRequest(ObservedRequest request) {}

    /** Called after an attempt was added to its request as the last one. */
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {}

    void onResponse(ObservedRequest request, Response response, long atMicros, int frame) {}

    void onAttemptEnded(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {}

    void onEndpointList(Incarnation incarnation, long atMicros) {}

    void onIncarnationEnded(Incarnation incarnation, boolean killed) {}

    /** Called for each frame that a client or a target recorded. */
    void onOtherRecord(Record record, int frame) {}

    void onNote(String observer, Note note, long atMicros, int frame) {}

    void finish(long atMicros) {}

    /** Describes how near the recording came to a violation, in the unit of the rule. */
    abstract String closestCall();

    static String millis(long micros) {
        return String.format("%.1f ms", micros / 1e3);
    }
}
