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
 * Judges a recording by the seven rules. Rebuilds from the frames what each initiator knew and did,
 * life by life, and lets one check for each rule look on.
 */
public final class Audit {
    private final List<Record> records;
    private final List<RuleCheck> checks =
            List.of(
                    new FinalAnswerRule(),
                    new SingleExecutionRule(),
                    new DrainRule(),
                    new SlowStartRule(),
                    new KeyOrderRule(),
                    new RetryBudgetRule(),
                    new RateLimitRule());
    private final Map<String, Incarnation> incarnations = new HashMap<>();
    private final Set<String> initiators = new HashSet<>();

    private Audit(List<Record> all) {
        records = new ArrayList<>(all);
        records.sort(
                Comparator.comparingLong(
                        Record::getAtMicros)); // stable: what one thread told keeps its order
    }

    /** The findings of one audit. */
    public record Report(List<Verdict> verdicts, int records) {
        public boolean isClean() {
            return verdicts.stream().allMatch(v -> v.violations() == 0);
        }

        public Verdict rule(int number) {
            return verdicts.get(number - 1);
        }

        /**
         * @param details whether to show the frames of breaches
         */
        public String text(boolean details) {
            StringBuilder text = new StringBuilder();
            for (Verdict v : verdicts) {
                String word =
                        v.violations() > 0
                                ? v.violations() + " BREACHES"
                                : v.tested() == 0 ? "untested here" : "kept";
                text.append(
                        String.format(
                                "rule %d  %-13s %8d tests%s  %s%n        %s%n",
                                v.rule(),
                                word,
                                v.tested(),
                                v.excused() > 0 ? ", " + v.excused() + " excused" : "",
                                v.name(),
                                v.closestCall()));
                if (details) {
                    v.details().forEach(s -> text.append("        ").append(s).append('\n'));
                }
            }
            return text.toString();
        }
    }

    /**
     * @param details breaches with their frames, the first ones only
     */
    public record Verdict(
            int rule,
            String name,
            long tested,
            long violations,
            long excused,
            String closestCall,
            List<String> details) {}

    public static Report audit(Path recording) throws IOException {
        return audit(Recorder.readAll(recording));
    }

    /**
     * @throws IllegalArgumentException where the recording has no rules, or cannot be followed
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
                                                "the recording does not tell the rules' figures"));
        RuleSettings book = RuleSettings.read(rules.getNote().getText());
        checks.forEach(rule -> rule.settings = book);
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
                                                        incarnation, incarnation.killedAt >= 0)));
        checks.forEach(rule -> rule.finish(end));
        return new Report(checks.stream().map(this::verdict).toList(), records.size());
    }

    private void onNote(Record record, int frame) {
        Note note = record.getNote();
        if (initiators.contains(record.getObserver())) {
            Incarnation before = incarnations.get(record.getObserver());
            if (note.getKind() == Note.Kind.STARTED) {
                if (before != null) {
                    checks.forEach(rule -> rule.onIncarnationEnded(before, before.killedAt >= 0));
                }
                incarnations.put(
                        record.getObserver(),
                        new Incarnation(record.getObserver(), record.getAtMicros()));
            } else if (note.getKind() == Note.Kind.KILLED && before != null) {
                before.killedAt = record.getAtMicros();
            }
        }
        checks.forEach(
                rule -> rule.onNote(record.getObserver(), note, record.getAtMicros(), frame));
    }

    private void onInitiatorRecord(Record record, int frame) {
        Incarnation incarnation = incarnations.get(record.getObserver());
        if (incarnation == null || incarnation.killedAt >= 0) {
            return; // its sockets' last words
        }
        Frame f = record.getFrame();
        if (record.getDirection() == Direction.CLOSED) {
            onConnectionClosed(incarnation, record, frame);
            return;
        }
        boolean got = record.getDirection() == Direction.GOT;
        switch (f.getBodyCase()) {
            case REQUEST -> onRequest(incarnation, record, f.getRequest(), frame);
            case RESPONSE -> onResponse(incarnation, record, frame);
            case CANCEL_REQUEST ->
                    onClientCancelled(
                            incarnation,
                            record.getConnection(),
                            f.getCancelRequest().getNumber(),
                            record.getAtMicros());
            case ATTEMPT -> onAttempt(incarnation, record, frame);
            case ATTEMPT_REPLY ->
                    onAttemptEnded(
                            incarnation,
                            record.getConnection(),
                            f.getAttemptReply().getNumber(),
                            f.getAttemptReply().getOutcome(),
                            record.getAtMicros(),
                            frame);
            case CANCEL_ATTEMPT ->
                    onAttemptEnded(
                            incarnation,
                            record.getConnection(),
                            f.getCancelAttempt().getNumber(),
                            Outcome.CANCELLED,
                            record.getAtMicros(),
                            frame);
            case CLOSE -> {
                if (got && f.getClose().getNothingProcessed()) {
                    onNothingProcessed(incarnation, record, frame);
                }
            }
            case ENDPOINT_LIST -> {
                if (got) {
                    incarnation.onEndpointList(f.getEndpointList(), record.getAtMicros(), frame);
                    checks.forEach(rule -> rule.onEndpointList(incarnation, record.getAtMicros()));
                }
            }
            default -> {}
        }
    }

    private void onRequest(Incarnation incarnation, Record record, Request access, int frame) {
        String id = record.getConnection() + "-" + access.getNumber();
        ObservedRequest request =
                new ObservedRequest(incarnation, id, access, frame, record.getAtMicros());
        incarnation.requests.put(id, request);
        incarnation
                .requestsByClient
                .computeIfAbsent(record.getConnection(), c -> new HashMap<>())
                .put(access.getNumber(), request);
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
        request.answers++;
        checks.forEach(
                rule ->
                        rule.onResponse(
                                request,
                                record.getFrame().getResponse(),
                                record.getAtMicros(),
                                frame));
        request.answerFrame = request.answerFrame < 0 ? frame : request.answerFrame;
        request.overAt = Math.min(request.overAt, record.getAtMicros());
    }

    private void onClientCancelled(Incarnation incarnation, int connection, long number, long at) {
        ObservedRequest request =
                incarnation.requestsByClient.getOrDefault(connection, Map.of()).get(number);
        if (request != null && !request.isOver()) {
            request.cancelledAt = at;
        }
    }

    private void onAttempt(Incarnation incarnation, Record record, int frame) {
        ObservedRequest request =
                incarnation.requests.get(record.getFrame().getAttempt().getRequestId());
        if (request == null) {
            checks.get(0)
                    .recordViolation(
                            incarnation.initiator
                                    + " relayed "
                                    + record.getFrame().getAttempt().getRequestId()
                                    + ", which it never took in this life",
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
                .computeIfAbsent(record.getConnection(), c -> new HashMap<>())
                .put(attempt.attempt.getNumber(), attempt);
        checks.forEach(rule -> rule.onAttempt(request, attempt));
    }

    private void onAttemptEnded(
            Incarnation incarnation,
            int connection,
            long number,
            Outcome outcome,
            long at,
            int frame) {
        ObservedRequest.ObservedAttempt attempt =
                incarnation.attemptsByConnection.getOrDefault(connection, Map.of()).get(number);
        if (attempt != null && attempt.outcome == null) {
            attempt.end(outcome, at, frame);
            ObservedRequest request = incarnation.requests.get(attempt.attempt.getRequestId());
            checks.forEach(rule -> rule.onAttemptEnded(request, attempt));
        }
    }

    /**
     * What was sent there never ran, by the target's word; one that has answered there before is
     * not believed.
     */
    private void onNothingProcessed(Incarnation incarnation, Record record, int frame) {
        Map<Long, ObservedRequest.ObservedAttempt> out =
                incarnation.attemptsByConnection.getOrDefault(record.getConnection(), Map.of());
        if (out.values().stream()
                .allMatch(
                        attempt ->
                                attempt.outcome == null || attempt.outcome == Outcome.CANCELLED)) {
            List.copyOf(out.keySet())
                    .forEach(
                            n ->
                                    onAttemptEnded(
                                            incarnation,
                                            record.getConnection(),
                                            n,
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
                n ->
                        onAttemptEnded(
                                incarnation,
                                record.getConnection(),
                                n,
                                Outcome.RESET,
                                record.getAtMicros(),
                                frame));
        incarnation
                .requestsByClient
                .getOrDefault(record.getConnection(), Map.of())
                .keySet()
                .forEach(
                        n ->
                                onClientCancelled(
                                        incarnation,
                                        record.getConnection(),
                                        n,
                                        record.getAtMicros()));
    }

    private Verdict verdict(RuleCheck rule) {
        List<String> shown = new ArrayList<>();
        for (RuleCheck.Violation b :
                rule.keptViolations.subList(0, Math.min(10, rule.keptViolations.size()))) {
            shown.add("breach: " + b.description());
            for (int frame : b.frames()) {
                shown.add("  " + describeRecord(frame));
            }
        }
        return new Verdict(
                rule.number,
                rule.description,
                rule.tested,
                rule.violationCount,
                rule.excused,
                rule.closestCall(),
                shown);
    }

    private String describeRecord(int at) {
        if (at < 0) {
            return "(no frame)";
        }
        Record record = records.get(at);
        String what =
                record.hasNote()
                        ? record.getNote().getKind() + " " + record.getNote().getText()
                        : record.getFrame().toString().replaceAll("\\s+", " ");
        return String.format(
                "#%d %d us %s %s %s/%d %s",
                at,
                record.getAtMicros(),
                record.getObserver(),
                record.getDirection(),
                record.getPeer(),
                record.getConnection(),
                what.length() > 220 ? what.substring(0, 220) + "..." : what);
    }
}
