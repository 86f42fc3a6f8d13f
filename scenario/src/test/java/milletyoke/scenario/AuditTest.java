package milletyoke.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Health;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Record;
import milletyoke.wire.recording.Recorder;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Plays one day that puts all rules to the test; then the audit must find each breach that is put
 * in by hand.
 */
@Timeout(120)
class AuditTest {
    private static List<Record> clean;
    private static ScenarioRunner.ScenarioResult played;

    @BeforeAll
    static void play() throws Exception {
        Path recording = Files.createTempFile("milletyoke-audit", ".recording");
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        ScenarioParser.read(Path.of("days/all-rules.day")), recording, false)) {
            played = runner.run(line -> {});
        }
        clean = Recorder.readAll(recording);
        Files.delete(recording);
    }

    @Test
    void aDayThatTestsEveryRuleKeepsThem() {
        Audit.Report report = Audit.audit(clean);
        assertTrue(report.isClean(), () -> report.text(true));
        report.verdicts()
                .forEach(v -> assertTrue(v.tested() > 0, () -> "untested:\n" + report.text(false)));
        assertEquals(0, played.unfinished());
        assertTrue(played.isShutdownClean());
    }

    @Test
    void rule1AnswerThatNeverCame() {
        List<Record> bad = new ArrayList<>(clean);
        bad.remove(
                first(
                        record ->
                                client(record)
                                        && record.getFrame().hasResponse()
                                        && !isCoveredByStall(record)));
        named(1, "never had an answer", bad);
    }

    /**
     * What a stalled machine could not answer is no breach; a stall is found on a busy one, too.
     */
    @Test
    void rule1ExcusesAnswersMissedInAStall() {
        Record missing =
                first(
                        record ->
                                client(record)
                                        && record.getFrame().hasResponse()
                                        && !isCoveredByStall(record));
        List<Record> bad = new ArrayList<>(clean);
        long excused = Audit.audit(bad).rule(1).excused();
        bad.remove(missing);
        Note stall = Note.newBuilder().setKind(Note.Kind.STALLED).setFigure(1_000).build();
        bad.add(
                Record.newBuilder()
                        .setObserver("machine")
                        .setAtMicros(requestOf(missing).getAtMicros() + 1_000)
                        .setNote(stall)
                        .build());
        Audit.Report report = Audit.audit(bad);
        assertEquals(0, report.rule(1).violations(), () -> report.text(true));
        assertEquals(excused + 1, report.rule(1).excused());
    }

    @Test
    void rule1SecondAnswer() {
        List<Record> bad = new ArrayList<>(clean);
        bad.add(later(first(record -> client(record) && record.getFrame().hasResponse()), 10));
        named(1, "a second answer", bad);
    }

    @Test
    void rule1RelayAfterTheAnswer() {
        List<Record> bad = new ArrayList<>(clean);
        Record relay = relay(record -> true);
        Record answer =
                clean.stream()
                        .filter(
                                record ->
                                        initiator(record)
                                                && record.getFrame().hasResponse()
                                                && sameAccess(relay, record))
                        .findFirst()
                        .orElseThrow();
        bad.add(relay.toBuilder().setAtMicros(answer.getAtMicros() + 5).build());
        named(1, "after its final answer", bad);
    }

    /** One of a key whose turn is long over; the audit once fell over it in place of naming it. */
    @Test
    void rule1RelayLongAfterItsKeysTurn() {
        Record relay =
                relay(
                        record ->
                                record.getFrame().getAttempt().getRequestClass().equals("save")
                                        && !record.getObserver().equals("initiator-2")
                                        && clean.stream()
                                                .anyMatch(
                                                        o ->
                                                                later(record, 100_000).getAtMicros()
                                                                                < o.getAtMicros()
                                                                        && o.getObserver()
                                                                                .equals(
                                                                                        record
                                                                                                .getObserver())
                                                                        && o.getDirection()
                                                                                == Direction.SENT
                                                                        && o.getFrame()
                                                                                .getAttempt()
                                                                                .getExtent()
                                                                                .equals(
                                                                                        record.getFrame()
                                                                                                .getAttempt()
                                                                                                .getExtent())
                                                                        && !o.getFrame()
                                                                                .getAttempt()
                                                                                .getRequestId()
                                                                                .equals(
                                                                                        record.getFrame()
                                                                                                .getAttempt()
                                                                                                .getRequestId())));
        List<Record> bad = new ArrayList<>(clean);
        bad.add(
                relay.toBuilder()
                        .setAtMicros(clean.get(clean.size() - 1).getAtMicros() + 1)
                        .build());
        named(1, "after its final answer", bad);
    }

    @Test
    void rule2OneShotSentTwice() {
        List<Record> bad = new ArrayList<>(clean);
        Record relay =
                relay(
                        record ->
                                record.getFrame()
                                        .getAttempt()
                                        .getRequestClass()
                                        .equals("transfer"));
        bad.add(further(relay, 1));
        named(2, "two relays", bad);
    }

    @Test
    void rule2OneShotThatRanAtTwoTargets() {
        List<Record> bad = new ArrayList<>(clean);
        Record ran =
                first(
                        record ->
                                record.getNote().getKind() == Note.Kind.EXECUTED
                                        && record.getNote().getText().endsWith("transfer"));
        bad.add(later(ran, 1_000).toBuilder().setObserver("t-other").build());
        named(2, "ran at", bad);
    }

    @Test
    void rule2OneShotRejectedThoughItMayHaveRun() {
        List<Record> bad = new ArrayList<>(clean);
        Record reply =
                first(
                        record ->
                                initiator(record)
                                        && record.getFrame().hasAttemptReply()
                                        && record.getFrame().getAttemptReply().getOutcome()
                                                == Outcome.SUCCEEDED
                                        && isTransfer(record));
        Record relay = relayOf(reply);
        Record answer =
                first(
                        record ->
                                initiator(record)
                                        && record.getFrame().hasResponse()
                                        && sameAccess(relay, record));
        bad.remove(answer);
        bad.add(
                answer.toBuilder()
                        .setFrame(
                                answer.getFrame().toBuilder()
                                        .setResponse(
                                                answer.getFrame().getResponse().toBuilder()
                                                        .setStatusValue(2)))
                        .build());
        named(2, "rejected though it may have run", bad);
    }

    @Test
    void rule3RelayAfterTheGrace() {
        List<Record> bad = new ArrayList<>(clean);
        Record list =
                first(
                        record ->
                                initiator(record)
                                        && record.getDirection() == Direction.GOT
                                        && record.getFrame().hasEndpointList()
                                        && record
                                                .getFrame()
                                                .getEndpointList()
                                                .getTargetList()
                                                .stream()
                                                .anyMatch(t -> t.getHealth() == Health.DRAINING));
        String target = list.getFrame().getEndpointList().getTarget(0).getId();
        Record relay =
                relay(
                        record ->
                                record.getObserver().equals(list.getObserver())
                                        && record.getPeer().equals(target)
                                        && record.getAtMicros() < list.getAtMicros());
        bad.add(relay.toBuilder().setAtMicros(list.getAtMicros() + 501_000).build());
        named(3, "after it was told not to", bad);
    }

    @Test
    void rule4TooMuchForAColdTarget() {
        List<Record> bad = new ArrayList<>(clean);
        Record up =
                first(
                        record ->
                                record.getNote().getKind() == Note.Kind.STARTED
                                        && record.getNote().getText().equals("cold"));
        Record got =
                first(
                        record ->
                                record.getObserver().equals(up.getObserver())
                                        && record.getAtMicros() > up.getAtMicros() + 300_000
                                        && record.getDirection() == Direction.GOT
                                        && record.getFrame().hasAttempt());
        for (int i = 1; i < 4000; i++) {
            bad.add(later(got, i));
        }
        named(4, "while cold", bad);
    }

    @Test
    void rule5OutOfTurn() {
        List<Record> bad = new ArrayList<>(clean);
        Record relay =
                relay(
                        record ->
                                record.getFrame().getAttempt().getRequestClass().equals("save")
                                        && !record.getFrame().getAttempt().getExtent().isEmpty());
        Record access =
                first(
                        record ->
                                initiator(record)
                                        && record.getFrame().hasRequest()
                                        && record.getDirection() == Direction.GOT
                                        && (record.getConnection()
                                                        + "-"
                                                        + record.getFrame()
                                                                .getRequest()
                                                                .getNumber())
                                                .equals(
                                                        relay.getFrame()
                                                                .getAttempt()
                                                                .getRequestId())
                                        && record.getObserver().equals(relay.getObserver()));
        // A second access of the same key is taken right behind and sent while the first one's
        // relay is out.
        Record second =
                access.toBuilder()
                        .setAtMicros(access.getAtMicros() + 1)
                        .setFrame(
                                access.getFrame().toBuilder()
                                        .setRequest(
                                                access.getFrame().getRequest().toBuilder()
                                                        .setNumber(999_999_999)))
                        .build();
        bad.add(second);
        bad.add(
                relay.toBuilder()
                        .setAtMicros(relay.getAtMicros() + 1)
                        .setFrame(
                                relay.getFrame().toBuilder()
                                        .setAttempt(
                                                relay.getFrame().getAttempt().toBuilder()
                                                        .setRequestId(
                                                                access.getConnection()
                                                                        + "-999999999")
                                                        .setNumber(888_888_888)))
                        .build());
        named(5, "before", bad);
    }

    @Test
    void rule6TooManyFurtherRelays() {
        List<Record> bad = new ArrayList<>(clean);
        Record relay =
                relay(record -> record.getFrame().getAttempt().getRequestClass().equals("lookup"));
        for (int i = 1; i < 300; i++) {
            bad.add(further(relay, i));
        }
        named(6, "further relays in one span", bad);
    }

    @Test
    void rule7BeyondTheLimit() {
        List<Record> bad = new ArrayList<>(clean);
        Record relay =
                relay(
                        record ->
                                record.getFrame().getAttempt().getVolume().startsWith("basic")
                                        && record.getFrame().getAttempt().getAttemptNumber() == 0);
        int at =
                bad.indexOf(
                        first(
                                record ->
                                        initiator(record)
                                                && record.getFrame().hasRequest()
                                                && record.getObserver().equals(relay.getObserver())
                                                && (record.getConnection()
                                                                + "-"
                                                                + record.getFrame()
                                                                        .getRequest()
                                                                        .getNumber())
                                                        .equals(
                                                                relay.getFrame()
                                                                        .getAttempt()
                                                                        .getRequestId())));
        Record access = bad.get(at);
        bad.set(
                at,
                access.toBuilder()
                        .setFrame(
                                access.getFrame().toBuilder()
                                        .setRequest(
                                                access.getFrame().getRequest().toBuilder()
                                                        .setUnits(500)))
                        .build());
        named(7, "beyond its limit", bad);
    }

    @Test
    void rule7ALimitThatWasLoweredAndNotKept() {
        List<Record> bad = new ArrayList<>(clean);
        Record rules = first(record -> record.getNote().getKind() == Note.Kind.RULES);
        long asked =
                first(record -> initiator(record) && record.getFrame().hasAttempt()).getAtMicros();
        bad.add(
                rules.toBuilder()
                        .setAtMicros(asked + 500_000)
                        .setNote(
                                rules.getNote().toBuilder()
                                        .setText(
                                                rules.getNote()
                                                        .getText()
                                                        .replace("\"rate\":40.0", "\"rate\":1.0")
                                                        .replace(
                                                                "\"depth\":40.0", "\"depth\":1.0")))
                        .build());
        named(7, "beyond its limit", bad);
        Audit.Report report = Audit.audit(bad);
        assertTrue(
                report.rule(7).closestCall().startsWith("1 changes of limits"),
                report.rule(7).closestCall());
    }

    @Test
    void recordingWithoutItsRulesIsRefused() {
        List<Record> bad =
                clean.stream()
                        .filter(record -> record.getNote().getKind() != Note.Kind.RULES)
                        .toList();
        assertThrows(IllegalArgumentException.class, () -> Audit.audit(bad));
    }

    // ---- Finding and forging records ----

    private static void named(int rule, String what, List<Record> bad) {
        Audit.Report report = Audit.audit(bad);
        assertTrue(report.rule(rule).violations() > 0, () -> "not found:\n" + report.text(true));
        assertTrue(
                report.rule(rule).details().stream().anyMatch(s -> s.contains(what)),
                () -> report.text(true));
        assertTrue(
                report.rule(rule).details().stream().anyMatch(s -> s.trim().startsWith("#")),
                "its frames are shown");
    }

    private static Record first(Predicate<Record> which) {
        return clean.stream().filter(which).findFirst().orElseThrow();
    }

    private static boolean client(Record record) {
        return record.getObserver().equals("client") && record.getDirection() == Direction.GOT;
    }

    private static Record requestOf(Record response) {
        return first(
                record ->
                        record.getObserver().equals("client")
                                && record.getDirection() == Direction.SENT
                                && record.getConnection() == response.getConnection()
                                && record.getFrame().hasRequest()
                                && record.getFrame().getRequest().getNumber()
                                        == response.getFrame().getResponse().getNumber());
    }

    /**
     * Whether a stall was recorded while the request was open, with a second to spare: the audit
     * would excuse an answer that is missing then.
     */
    private static boolean isCoveredByStall(Record response) {
        Record request = requestOf(response);
        long from = request.getAtMicros();
        long until = from + request.getFrame().getRequest().getTimeLeftMicros() + 1_000_000;
        return clean.stream()
                .filter(record -> record.getNote().getKind() == Note.Kind.STALLED)
                .anyMatch(
                        record ->
                                record.getAtMicros() >= from
                                        && record.getAtMicros() - record.getNote().getFigure()
                                                <= until);
    }

    private static boolean initiator(Record record) {
        return record.getObserver().startsWith("initiator-");
    }

    private static Record relay(Predicate<Record> which) {
        return first(
                record ->
                        initiator(record)
                                && record.getFrame().hasAttempt()
                                && record.getDirection() == Direction.SENT
                                && which.test(record));
    }

    private static Record relayOf(Record reply) {
        return relay(
                record ->
                        record.getObserver().equals(reply.getObserver())
                                && record.getConnection() == reply.getConnection()
                                && record.getFrame().getAttempt().getNumber()
                                        == reply.getFrame().getAttemptReply().getNumber());
    }

    private static boolean isTransfer(Record reply) {
        return relayOf(reply).getFrame().getAttempt().getRequestClass().equals("transfer");
    }

    private static boolean sameAccess(Record relay, Record answer) {
        return answer.getObserver().equals(relay.getObserver())
                && relay.getFrame()
                        .getAttempt()
                        .getRequestId()
                        .equals(
                                answer.getConnection()
                                        + "-"
                                        + answer.getFrame().getResponse().getNumber());
    }

    private static Record later(Record record, long micros) {
        return record.toBuilder().setAtMicros(record.getAtMicros() + micros).build();
    }

    /** The same relay again as a further one, a moment later. */
    private static Record further(Record relay, int i) {
        return relay.toBuilder()
                .setAtMicros(relay.getAtMicros() + i)
                .setFrame(
                        relay.getFrame().toBuilder()
                                .setAttempt(
                                        relay.getFrame().getAttempt().toBuilder()
                                                .setAttemptNumber(1)
                                                .setNumber(777_000_000L + i)))
                .build();
    }
}
