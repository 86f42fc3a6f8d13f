package milletyoke.rehearsal.audit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Frame;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Record;
import milletyoke.wire.record.Recorder;

/**
 * Judges a recording by the seven rules. Rebuilds from the frames what each initiator knew and did,
 * life by life, and lets one check for each rule look on.
 */
public final class Audit {
    private final List<Record> records;
    private final List<Check> checks =
            List.of(
                    new Answers(),
                    new Effects(),
                    new Drains(),
                    new ColdStarts(),
                    new KeyOrder(),
                    new Budget(),
                    new Limits());
    private final Map<String, Life> lives = new HashMap<>();
    private final Set<String> initiators = new HashSet<>();

    private Audit(List<Record> all) {
        records = new ArrayList<>(all);
        records.sort(
                Comparator.comparingLong(
                        Record::getAt)); // stable: what one thread told keeps its order
    }

    /** The findings of one audit. */
    public record Report(List<Verdict> verdicts, int records) {
        public boolean clean() {
            return verdicts.stream().allMatch(v -> v.breaches() == 0);
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
                        v.breaches() > 0
                                ? v.breaches() + " BREACHES"
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
            long breaches,
            long excused,
            String nearest,
            List<String> shown) {}

    public static Report of(Path recording) throws IOException {
        return of(Recorder.readAll(recording));
    }

    /**
     * @throws IllegalArgumentException where the recording has no rules, or cannot be followed
     */
    public static Report of(List<Record> records) {
        return new Audit(records).judge();
    }

    private Report judge() {
        Record rules =
                records.stream()
                        .filter(r -> r.hasNote() && r.getNote().getKind() == Note.Kind.BOUNDS)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "the recording does not tell the rules' figures"));
        RuleBook book = RuleBook.read(rules.getNote().getText());
        checks.forEach(c -> c.book = book);
        for (Record r : records) {
            if (r.hasNote()
                    && r.getNote().getKind() == Note.Kind.UP
                    && r.getNote().getText().equals("initiator")) {
                initiators.add(r.getWitness());
            }
        }
        for (int i = 0; i < records.size(); i++) {
            Record r = records.get(i);
            if (r.hasNote()) {
                noted(r, i);
            } else if (initiators.contains(r.getWitness())) {
                atInitiator(r, i);
            } else {
                for (Check c : checks) {
                    c.elsewhere(r, i);
                }
            }
        }
        long end = records.get(records.size() - 1).getAt();
        lives.values().forEach(l -> checks.forEach(c -> c.lifeEnded(l, l.killedAt >= 0)));
        checks.forEach(c -> c.finish(end));
        return new Report(checks.stream().map(this::verdict).toList(), records.size());
    }

    private void noted(Record r, int frame) {
        Note note = r.getNote();
        if (initiators.contains(r.getWitness())) {
            Life before = lives.get(r.getWitness());
            if (note.getKind() == Note.Kind.UP) {
                if (before != null) {
                    checks.forEach(c -> c.lifeEnded(before, before.killedAt >= 0));
                }
                lives.put(r.getWitness(), new Life(r.getWitness(), r.getAt()));
            } else if (note.getKind() == Note.Kind.KILLED && before != null) {
                before.killedAt = r.getAt();
            }
        }
        checks.forEach(c -> c.noted(r.getWitness(), note, r.getAt(), frame));
    }

    private void atInitiator(Record r, int frame) {
        Life life = lives.get(r.getWitness());
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
            case ACCESS -> taken(life, r, f.getAccess(), frame);
            case ANSWER -> answered(life, r, frame);
            case LEAVE -> left(life, r.getConnection(), f.getLeave().getNumber(), r.getAt());
            case RELAY -> relayed(life, r, frame);
            case REPLY ->
                    ended(
                            life,
                            r.getConnection(),
                            f.getReply().getNumber(),
                            f.getReply().getOutcome(),
                            r.getAt(),
                            frame);
            case CANCEL ->
                    ended(
                            life,
                            r.getConnection(),
                            f.getCancel().getNumber(),
                            Outcome.CANCELLED,
                            r.getAt(),
                            frame);
            case BYE -> {
                if (got && f.getBye().getNothingTaken()) {
                    refused(life, r, frame);
                }
            }
            case LIST -> {
                if (got) {
                    life.told(f.getList(), r.getAt(), frame);
                    checks.forEach(c -> c.listed(life, r.getAt()));
                }
            }
            default -> {}
        }
    }

    private void taken(Life life, Record r, Access access, int frame) {
        String id = r.getConnection() + "-" + access.getNumber();
        Seen seen = new Seen(life, id, access, frame, r.getAt());
        life.accesses.put(id, seen);
        life.byClient
                .computeIfAbsent(r.getConnection(), c -> new HashMap<>())
                .put(access.getNumber(), seen);
        checks.forEach(c -> c.taken(seen));
    }

    private void answered(Life life, Record r, int frame) {
        Seen seen =
                life.byClient
                        .getOrDefault(r.getConnection(), Map.of())
                        .get(r.getFrame().getAnswer().getNumber());
        if (seen == null) {
            return;
        }
        seen.answers++;
        checks.forEach(c -> c.answered(seen, r.getFrame().getAnswer(), r.getAt(), frame));
        seen.answerFrame = seen.answerFrame < 0 ? frame : seen.answerFrame;
        seen.overAt = Math.min(seen.overAt, r.getAt());
    }

    private void left(Life life, int connection, long number, long at) {
        Seen seen = life.byClient.getOrDefault(connection, Map.of()).get(number);
        if (seen != null && !seen.isOver()) {
            seen.leftAt = at;
        }
    }

    private void relayed(Life life, Record r, int frame) {
        Seen seen = life.accesses.get(r.getFrame().getRelay().getId());
        if (seen == null) {
            checks.get(0)
                    .breach(
                            life.initiator
                                    + " relayed "
                                    + r.getFrame().getRelay().getId()
                                    + ", which it never took in this life",
                            frame);
            return;
        }
        Seen.Sent sent =
                new Seen.Sent(
                        r.getFrame().getRelay(), r.getPeer(), r.getConnection(), frame, r.getAt());
        seen.relays.add(sent);
        life.out
                .computeIfAbsent(r.getConnection(), c -> new HashMap<>())
                .put(sent.relay.getNumber(), sent);
        checks.forEach(c -> c.relayed(seen, sent));
    }

    private void ended(
            Life life, int connection, long number, Outcome outcome, long at, int frame) {
        Seen.Sent sent = life.out.getOrDefault(connection, Map.of()).get(number);
        if (sent != null && sent.outcome == null) {
            sent.end(outcome, at, frame);
            Seen seen = life.accesses.get(sent.relay.getId());
            checks.forEach(c -> c.relayEnded(seen, sent));
        }
    }

    /**
     * What was sent there never ran, by the target's word; one that has answered there before is
     * not believed.
     */
    private void refused(Life life, Record r, int frame) {
        Map<Long, Seen.Sent> out = life.out.getOrDefault(r.getConnection(), Map.of());
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
                                            r.getAt(),
                                            frame));
        }
    }

    private void closed(Life life, Record r, int frame) {
        List<Long> numbers =
                List.copyOf(life.out.getOrDefault(r.getConnection(), Map.of()).keySet());
        numbers.forEach(n -> ended(life, r.getConnection(), n, Outcome.RESET, r.getAt(), frame));
        life.byClient
                .getOrDefault(r.getConnection(), Map.of())
                .keySet()
                .forEach(n -> left(life, r.getConnection(), n, r.getAt()));
    }

    private Verdict verdict(Check c) {
        List<String> shown = new ArrayList<>();
        for (Check.Breach b : c.kept.subList(0, Math.min(10, c.kept.size()))) {
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
                r.getAt(),
                r.getWitness(),
                r.getDirection(),
                r.getPeer(),
                r.getConnection(),
                what.length() > 220 ? what.substring(0, 220) + "..." : what);
    }
}
