package milletyoke.scenario.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Record;
import milletyoke.wire.proto.Request;
import milletyoke.wire.recording.Recorder;

/**
 * Checks a recording against the seven scheduling rules. Replays the recorded frames, rebuilds the
 * state of each incarnation of each initiator and passes every event to one check per rule.
 */
public final class Audit {
    private final List<Record> records;
    private final List<RuleCheck> checks =
            List.of(
                    new FinalResponseRule(),
                    new SingleExecutionRule(),
                    new DrainRule(),
                    new SlowStartRule(),
                    new KeyOrderRule(),
                    new RetryBudgetRule(),
                    new RateLimitRule());
    private final Map<String, Incarnation> incarnations = new HashMap<>();
    private final Set<String> initiators = new HashSet<>();

    private Audit(List<Record> unsortedRecords) {
        records = new ArrayList<>(unsortedRecords);
        records.sort(
                Comparator.comparingLong(
                        Record::getAtMicros)); // stable sort: records of one thread keep their
        // order
    }

    /** The result of one audit: a verdict for each rule, and the number of records read. */
    public record Report(List<Verdict> verdicts, int records) {
        /** Returns whether no rule was violated. */
        public boolean isClean() {
            return verdicts.stream().allMatch(verdict -> verdict.violations() == 0);
        }

        /** Returns the verdict of a rule, by its number from 1. */
        public Verdict rule(int number) {
            return verdicts.get(number - 1);
        }

        /**
         * Returns the report as text, with two lines for each rule.
         *
         * @param details whether to include the frames of the violations
         */
        public String text(boolean details) {
            StringBuilder text = new StringBuilder();
            for (Verdict verdict : verdicts) {
                String status =
                        verdict.violations() > 0
                                ? verdict.violations() + " BREACHES"
                                : verdict.tested() == 0 ? "not tested" : "kept";
                text.append(
                        String.format(
                                "rule %d  %-13s %8d tests%s  %s%n        %s%n",
                                verdict.rule(),
                                status,
                                verdict.tested(),
                                verdict.excused() > 0 ? ", " + verdict.excused() + " excused" : "",
                                verdict.name(),
                                verdict.closestCall()));
                if (details) {
                    verdict.details().forEach(s -> text.append("        ").append(s).append('\n'));
                }
            }
            return text.toString();
        }
    }

    /**
     * The result of the check of one rule.
     *
     * @param tested how often the recording tested the rule
     * @param excused violations that a kill, a stall or a reconnection explains
     * @param closestCall how near the recording came to a violation
     * @param details the first violations, each followed by its frames
     */
    public record Verdict(
            int rule,
            String name,
            long tested,
            long violations,
            long excused,
            String closestCall,
            List<String> details) {}

    /** Audits a recording file. */
    public static Report audit(Path recording) throws IOException {
        return audit(Recorder.readAll(recording));
    }

    /**
     * Audits the records of a recording.
     *
     * @throws IllegalArgumentException if the recording lacks the rule settings or is inconsistent
     */
    public static Report audit(List<Record> records) {
        return new Audit(records).run();
    }

    private Report run() {
        Record rules =
                records.stream()
                        .filter(
                                record ->
                                        record.hasNote()
                                                && record.getNote().getKind() == Note.Kind.RULES)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "the recording has no RULES note with the rule settings"));
        RuleSettings settings = RuleSettings.read(rules.getNote().getText());
        checks.forEach(rule -> rule.settings = settings);
        for (Record record : records) {
            if (record.hasNote()
                    && record.getNote().getKind() == Note.Kind.STARTED
                    && record.getNote().getText().equals("initiator")) {
                initiators.add(record.getObserver());
            }
        }
        for (int i = 0; i < records.size(); i++) {
            Record record = records.get(i);
            if (record.hasNote()) {
                onNote(record, i);
            } else if (initiators.contains(record.getObserver())) {
                onInitiatorRecord(record, i);
            } else {
                for (RuleCheck rule : checks) {
                    rule.onOtherRecord(record, i);
                }
            }
        }
        long end = records.get(records.size() - 1).getAtMicros();
        incarnations
                .values()
                .forEach(
                        incarnation ->
                                checks.forEach(
                                        rule ->
                                                rule.onIncarnationEnded(
                                                        incarnation,
                                                        incarnation.killedAtMicros >= 0)));
        checks.forEach(rule -> rule.finish(end));
        return new Report(checks.stream().map(this::verdict).toList(), records.size());
    }

    private void onNote(Record record, int frame) {
        Note note = record.getNote();
        if (initiators.contains(record.getObserver())) {
            Incarnation previous = incarnations.get(record.getObserver());
            if (note.getKind() == Note.Kind.STARTED) {
                if (previous != null) {
                    checks.forEach(
                            rule ->
                                    rule.onIncarnationEnded(
                                            previous, previous.killedAtMicros >= 0));
                }
                incarnations.put(
                        record.getObserver(),
                        new Incarnation(record.getObserver(), record.getAtMicros()));
            } else if (note.getKind() == Note.Kind.KILLED && previous != null) {
                previous.killedAtMicros = record.getAtMicros();
            }
        }
        checks.forEach(
                rule -> rule.onNote(record.getObserver(), note, record.getAtMicros(), frame));
    }

    private void onInitiatorRecord(Record record, int frame) {
        Incarnation incarnation = incarnations.get(record.getObserver());
        if (incarnation == null || incarnation.killedAtMicros >= 0) {
            return; // frames that its sockets recorded after the kill
        }
        Frame content = record.getFrame();
        if (record.getDirection() == Direction.CLOSED) {
            onConnectionClosed(incarnation, record, frame);
            return;
        }
        boolean isReceived = record.getDirection() == Direction.GOT;
        switch (content.getBodyCase()) {
            case REQUEST -> onRequest(incarnation, record, content.getRequest(), frame);
            case RESPONSE -> onResponse(incarnation, record, frame);
            case CANCEL_REQUEST ->
                    onClientCancelled(
                            incarnation,
                            record.getConnection(),
                            content.getCancelRequest().getNumber(),
                            record.getAtMicros());
            case ATTEMPT -> onAttempt(incarnation, record, frame);
            case ATTEMPT_REPLY ->
                    onAttemptEnded(
                            incarnation,
                            record.getConnection(),
                            content.getAttemptReply().getNumber(),
                            content.getAttemptReply().getOutcome(),
                            record.getAtMicros(),
                            frame);
            case CANCEL_ATTEMPT ->
                    onAttemptEnded(
                            incarnation,
                            record.getConnection(),
                            content.getCancelAttempt().getNumber(),
                            Outcome.CANCELLED,
                            record.getAtMicros(),
                            frame);
            case CLOSE -> {
                if (isReceived && content.getClose().getNothingProcessed()) {
                    onNothingProcessed(incarnation, record, frame);
                }
            }
            case ENDPOINT_LIST -> {
                if (isReceived) {
                    incarnation.onEndpointList(
                            content.getEndpointList(), record.getAtMicros(), frame);
                    checks.forEach(rule -> rule.onEndpointList(incarnation, record.getAtMicros()));
                }
            }
            default -> {}
        }
    }

    private void onRequest(Incarnation incarnation, Record record, Request message, int frame) {
        String id = record.getConnection() + "-" + message.getNumber();
        ObservedRequest request =
                new ObservedRequest(incarnation, id, message, frame, record.getAtMicros());
        incarnation.requests.put(id, request);
        incarnation
                .requestsByClient
                .computeIfAbsent(record.getConnection(), connection -> new HashMap<>())
                .put(message.getNumber(), request);
        checks.forEach(rule -> rule.onRequest(request));
    }

    private void onResponse(Incarnation incarnation, Record record, int frame) {
        ObservedRequest request =
                incarnation
                        .requestsByClient
                        .getOrDefault(record.getConnection(), Map.of())
                        .get(record.getFrame().getResponse().getNumber());
        if (request == null) {
            return;
        }
        request.responses++;
        checks.forEach(
                rule ->
                        rule.onResponse(
                                request,
                                record.getFrame().getResponse(),
                                record.getAtMicros(),
                                frame));
        request.responseFrame = request.responseFrame < 0 ? frame : request.responseFrame;
        request.respondedAtMicros = Math.min(request.respondedAtMicros, record.getAtMicros());
    }

    private void onClientCancelled(
            Incarnation incarnation, int connection, long number, long atMicros) {
        ObservedRequest request =
                incarnation.requestsByClient.getOrDefault(connection, Map.of()).get(number);
        if (request != null && !request.isFinished()) {
            request.cancelledAtMicros = atMicros;
        }
    }

    private void onAttempt(Incarnation incarnation, Record record, int frame) {
        ObservedRequest request =
                incarnation.requests.get(record.getFrame().getAttempt().getRequestId());
        if (request == null) {
            checks.get(0)
                    .recordViolation(
                            incarnation.initiator
                                    + " sent an attempt of request "
                                    + record.getFrame().getAttempt().getRequestId()
                                    + ", which this incarnation did not receive",
                            frame);
            return;
        }
        ObservedRequest.ObservedAttempt attempt =
                new ObservedRequest.ObservedAttempt(
                        record.getFrame().getAttempt(),
                        record.getPeer(),
                        record.getConnection(),
                        frame,
                        record.getAtMicros());
        request.attempts.add(attempt);
        incarnation
                .attemptsByConnection
                .computeIfAbsent(record.getConnection(), connection -> new HashMap<>())
                .put(attempt.attempt.getNumber(), attempt);
        checks.forEach(rule -> rule.onAttempt(request, attempt));
    }

    private void onAttemptEnded(
            Incarnation incarnation,
            int connection,
            long number,
            Outcome outcome,
            long atMicros,
            int frame) {
        ObservedRequest.ObservedAttempt attempt =
                incarnation.attemptsByConnection.getOrDefault(connection, Map.of()).get(number);
        if (attempt != null && attempt.outcome == null) {
            attempt.end(outcome, atMicros, frame);
            ObservedRequest request = incarnation.requests.get(attempt.attempt.getRequestId());
            checks.forEach(rule -> rule.onAttemptEnded(request, attempt));
        }
    }

    /**
     * Ends the attempts of a connection as never started, because the target closed it without
     * processing anything. Ignores the claim if the target has replied on this connection before.
     */
    private void onNothingProcessed(Incarnation incarnation, Record record, int frame) {
        Map<Long, ObservedRequest.ObservedAttempt> attempts =
                incarnation.attemptsByConnection.getOrDefault(record.getConnection(), Map.of());
        if (attempts.values().stream()
                .allMatch(
                        attempt ->
                                attempt.outcome == null || attempt.outcome == Outcome.CANCELLED)) {
            List.copyOf(attempts.keySet())
                    .forEach(
                            number ->
                                    onAttemptEnded(
                                            incarnation,
                                            record.getConnection(),
                                            number,
                                            Outcome.NO_CONNECTION,
                                            record.getAtMicros(),
                                            frame));
        }
    }

    private void onConnectionClosed(Incarnation incarnation, Record record, int frame) {
        List<Long> numbers =
                List.copyOf(
                        incarnation
                                .attemptsByConnection
                                .getOrDefault(record.getConnection(), Map.of())
                                .keySet());
        numbers.forEach(
                number ->
                        onAttemptEnded(
                                incarnation,
                                record.getConnection(),
                                number,
                                Outcome.RESET,
                                record.getAtMicros(),
                                frame));
        incarnation
                .requestsByClient
                .getOrDefault(record.getConnection(), Map.of())
                .keySet()
                .forEach(
                        number ->
                                onClientCancelled(
                                        incarnation,
                                        record.getConnection(),
                                        number,
                                        record.getAtMicros()));
    }

    private Verdict verdict(RuleCheck rule) {
        List<String> details = new ArrayList<>();
        for (RuleCheck.Violation violation :
                rule.keptViolations.subList(0, Math.min(10, rule.keptViolations.size()))) {
            details.add("breach: " + violation.description());
            for (int frame : violation.frames()) {
                details.add("  " + describeRecord(frame));
            }
        }
        return new Verdict(
                rule.number,
                rule.description,
                rule.tested,
                rule.violationCount,
                rule.excused,
                rule.closestCall(),
                details);
    }

    private String describeRecord(int index) {
        if (index < 0) {
            return "(no frame)";
        }
        Record record = records.get(index);
        String text =
                record.hasNote()
                        ? record.getNote().getKind() + " " + record.getNote().getText()
                        : record.getFrame().toString().replaceAll("\\s+", " ");
        return String.format(
                "#%d %d us %s %s %s/%d %s",
                index,
                record.getAtMicros(),
                record.getObserver(),
                record.getDirection(),
                record.getPeer(),
                record.getConnection(),
                text.length() > 220 ? text.substring(0, 220) + "..." : text);
    }
}
