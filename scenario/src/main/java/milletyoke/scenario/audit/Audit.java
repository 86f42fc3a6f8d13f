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
    private final Map<String, Incarnation> lives = new HashMap<>();
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
                                v.nearest()));
                if (details) {
                    v.shown().forEach(s -> text.append("        ").append(s).append('\n'));
                }
            }
            return text.toString();
        }
    }

    /**
     * @param shown breaches with their frames, the first ones only
     */
    public record Verdict(
            int rule,
            String name,
            long tested,
            long violations,
            long excused,
            String nearest,
            List<String> shown) {}

    public static Report recording(Path recording) throws IOException {
        return recording(Recorder.readAll(recording));
    }

    /**
     * @throws IllegalArgumentException where the recording has no rules, or cannot be followed
     */
    public static Report recording(List<Record> records) {
        return new Audit(records).judge();
    }

    private Report judge() {
        Record rules =
                records.stream()
                        .filter(r -> r.hasNote() && r.getNote().getKind() == Note.Kind.RULES)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "the recording does not tell the rules' figures"));
        RuleSettings book = RuleSettings.read(rules.getNote().getText());
        checks.forEach(c -> c.book = book);
        for (Record r : records) {
            if (r.hasNote()
                    && r.getNote().getKind() == Note.Kind.STARTED
                    && r.getNote().getText().equals("initiator")) {
                initiators.add(r.getObserver());
            }
        }
        for (int i = 0; i < records.size(); i++) {
            Record r = records.get(i);
            if (r.hasNote()) {
                noted(r, i);
            } else if (initiators.contains(r.getObserver())) {
                atInitiator(r, i);
            } else {
                for (RuleCheck c : checks) {
                    c.elsewhere(r, i);
                }
            }
        }
        long end = records.get(records.size() - 1).getAtMicros();
        lives.values().forEach(l -> checks.forEach(c -> c.lifeEnded(l, l.killedAt >= 0)));
        checks.forEach(c -> c.finish(end));
        return new Report(checks.stream().map(this::verdict).toList(), records.size());
    }

    private void noted(Record r, int frame) {
        Note note = r.getNote();
        if (initiators.contains(r.getObserver())) {
            Incarnation before = lives.get(r.getObserver());
            if (note.getKind() == Note.Kind.STARTED) {
                if (before != null) {
                    checks.forEach(c -> c.lifeEnded(before, before.killedAt >= 0));
                }
                lives.put(r.getObserver(), new Incarnation(r.getObserver(), r.getAtMicros()));
            } else if (note.getKind() == Note.Kind.KILLED && before != null) {
                before.killedAt = r.getAtMicros();
            }
        }
        checks.forEach(c -> c.noted(r.getObserver(), note, r.getAtMicros(), frame));
    }

    private void atInitiator(Record r, int frame) {
        Incarnation life = lives.get(r.getObserver());
        if (life == null || life.killedAt >= 0) {
            return; // its sockets' last words
        }
        Frame f = r.getFrame();
        if (r.getDirection() == Direction.CLOSED) {
            closed(life, r, frame);
            return;
        }
        boolean got = r.getDirection() == Direction.GOT;
        switch (f.getBodyCase()) {
            case REQUEST -> taken(life, r, f.getRequest(), frame);
            case RESPONSE -> answered(life, r, frame);
            case CANCEL_REQUEST ->
                    left(
                            life,
                            r.getConnection(),
                            f.getCancelRequest().getNumber(),
                            r.getAtMicros());
            case ATTEMPT -> relayed(life, r, frame);
            case ATTEMPT_REPLY ->
                    ended(
                            life,
                            r.getConnection(),
                            f.getAttemptReply().getNumber(),
                            f.getAttemptReply().getOutcome(),
                            r.getAtMicros(),
                            frame);
            case CANCEL_ATTEMPT ->
                    ended(
                            life,
                            r.getConnection(),
                            f.getCancelAttempt().getNumber(),
                            Outcome.CANCELLED,
                            r.getAtMicros(),
                            frame);
            case CLOSE -> {
                if (got && f.getClose().getNothingProcessed()) {
                    refused(life, r, frame);
                }
            }
            case ENDPOINT_LIST -> {
                if (got) {
                    life.told(f.getEndpointList(), r.getAtMicros(), frame);
                    checks.forEach(c -> c.listed(life, r.getAtMicros()));
                }
            }
            default -> {}
        }
    }

    private void taken(Incarnation life, Record r, Request access, int frame) {
        String id = r.getConnection() + "-" + access.getNumber();
        ObservedAttempts seen = new ObservedAttempts(life, id, access, frame, r.getAtMicros());
        life.accesses.put(id, seen);
        life.byClient
                .computeIfAbsent(r.getConnection(), c -> new HashMap<>())
                .put(access.getNumber(), seen);
        checks.forEach(c -> c.taken(seen));
    }

    private void answered(Incarnation life, Record r, int frame) {
        ObservedAttempts seen =
                life.byClient
                        .getOrDefault(r.getConnection(), Map.of())
                        .get(r.getFrame().getResponse().getNumber());
        if (seen == null) {
            return;
        }
        seen.answers++;
        checks.forEach(c -> c.answered(seen, r.getFrame().getResponse(), r.getAtMicros(), frame));
        seen.answerFrame = seen.answerFrame < 0 ? frame : seen.answerFrame;
        seen.overAt = Math.min(seen.overAt, r.getAtMicros());
    }

    private void left(Incarnation life, int connection, long number, long at) {
        ObservedAttempts seen = life.byClient.getOrDefault(connection, Map.of()).get(number);
        if (seen != null && !seen.isOver()) {
            seen.leftAt = at;
        }
    }

    private void relayed(Incarnation life, Record r, int frame) {
        ObservedAttempts seen = life.accesses.get(r.getFrame().getAttempt().getRequestId());
        if (seen == null) {
            checks.get(0)
                    .breach(
                            life.initiator
                                    + " relayed "
                                    + r.getFrame().getAttempt().getRequestId()
                                    + ", which it never took in this life",
                            frame);
            return;
        }
        ObservedAttempts.Sent sent =
                new ObservedAttempts.Sent(
                        r.getFrame().getAttempt(),
                        r.getPeer(),
                        r.getConnection(),
                        frame,
                        r.getAtMicros());
        seen.relays.add(sent);
        life.out
                .computeIfAbsent(r.getConnection(), c -> new HashMap<>())
                .put(sent.relay.getNumber(), sent);
        checks.forEach(c -> c.relayed(seen, sent));
    }

    private void ended(
            Incarnation life, int connection, long number, Outcome outcome, long at, int frame) {
        ObservedAttempts.Sent sent = life.out.getOrDefault(connection, Map.of()).get(number);
        if (sent != null && sent.outcome == null) {
            sent.end(outcome, at, frame);
            ObservedAttempts seen = life.accesses.get(sent.relay.getRequestId());
            checks.forEach(c -> c.relayEnded(seen, sent));
        }
    }

    /**
     * What was sent there never ran, by the target's word; one that has answered there before is
     * not believed.
     */
    private void refused(Incarnation life, Record r, int frame) {
        Map<Long, ObservedAttempts.Sent> out = life.out.getOrDefault(r.getConnection(), Map.of());
        if (out.values().stream()
                .allMatch(s -> s.outcome == null || s.outcome == Outcome.CANCELLED)) {
            List.copyOf(out.keySet())
                    .forEach(
                            n ->
                                    ended(
                                            life,
                                            r.getConnection(),
                                            n,
                                            Outcome.NO_CONNECTION,
                                            r.getAtMicros(),
                                            frame));
        }
    }

    private void closed(Incarnation life, Record r, int frame) {
        List<Long> numbers =
                List.copyOf(life.out.getOrDefault(r.getConnection(), Map.of()).keySet());
        numbers.forEach(
                n -> ended(life, r.getConnection(), n, Outcome.RESET, r.getAtMicros(), frame));
        life.byClient
                .getOrDefault(r.getConnection(), Map.of())
                .keySet()
                .forEach(n -> left(life, r.getConnection(), n, r.getAtMicros()));
    }

    private Verdict verdict(RuleCheck c) {
        List<String> shown = new ArrayList<>();
        for (RuleCheck.Violation b : c.kept.subList(0, Math.min(10, c.kept.size()))) {
            shown.add("breach: " + b.what());
            for (int frame : b.frames()) {
                shown.add("  " + brief(frame));
            }
        }
        return new Verdict(c.number, c.rule, c.tested, c.breaches, c.excused, c.nearest(), shown);
    }

    private String brief(int at) {
        if (at < 0) {
            return "(no frame)";
        }
        Record r = records.get(at);
        String what =
                r.hasNote()
                        ? r.getNote().getKind() + " " + r.getNote().getText()
                        : r.getFrame().toString().replaceAll("\\s+", " ");
        return String.format(
                "#%d %d us %s %s %s/%d %s",
                at,
                r.getAtMicros(),
                r.getObserver(),
                r.getDirection(),
                r.getPeer(),
                r.getConnection(),
                what.length() > 220 ? what.substring(0, 220) + "..." : what);
    }
}
