package milletyoke.simulation;

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
import milletyoke.simulation.run.SimulationRun;
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
 * Runs one scenario that tests every rule and forges violations into its recording; the audit must
 * find each of them. The scenario runs in virtual time, so that its recording does not depend on
 * the machine.
 */
@Timeout(120)
class AuditTest {
    private static List<Record> clean;
    private static SimulationRun.SimulationResult result;

    @BeforeAll
    static void runScenario() throws Exception {
        Path recording = Files.createTempFile("milletyoke-audit", ".recording");
        result =
                SimulationRun.run(
                        ScenarioParser.read(Path.of("../scenario/days/all-rules.day")), recording);
        clean = Recorder.readAll(recording);
        Files.delete(recording);
    }

    @Test
    void cleanRunTestsAndKeepsEveryRule() {
        Audit.Report report = Audit.audit(clean);
        assertTrue(report.isClean(), () -> report.text(true));
        report.verdicts()
                .forEach(
                        verdict ->
                                assertTrue(
                                        verdict.tested() > 0,
                                        () -> "rule not tested:\n" + report.text(false)));
        assertEquals(0, result.unfinished());
        assertTrue(result.isClean());
    }

    @Test
    void rule1MissingResponse() {
        List<Record> forged = new ArrayList<>(clean);
        forged.remove(
                findFirst(
                        record ->
                                isReceivedByClient(record)
                                        && record.getFrame().hasResponse()
                                        && !isCoveredByStall(record)));
        assertReported(1, "no response was received", forged);
    }

    /**
     * A response that is missing during a stall of the machine is excused. Stalls are also detected
     * on a busy machine.
     */
    @Test
    void rule1ExcusesResponsesMissedInAStall() {
        Record missing =
                findFirst(
                        record ->
                                isReceivedByClient(record)
                                        && record.getFrame().hasResponse()
                                        && !isCoveredByStall(record));
        List<Record> forged = new ArrayList<>(clean);
        long excused = Audit.audit(forged).rule(1).excused();
        forged.remove(missing);
        Note stall = Note.newBuilder().setKind(Note.Kind.STALLED).setFigure(1_000).build();
        forged.add(
                Record.newBuilder()
                        .setObserver("machine")
                        .setAtMicros(requestOf(missing).getAtMicros() + 1_000)
                        .setNote(stall)
                        .build());
        Audit.Report report = Audit.audit(forged);
        assertEquals(0, report.rule(1).violations(), () -> report.text(true));
        assertEquals(excused + 1, report.rule(1).excused());
    }

    @Test
    void rule1SecondResponse() {
        List<Record> forged = new ArrayList<>(clean);
        forged.add(
                delayed(
                        findFirst(
                                record ->
                                        isReceivedByClient(record)
                                                && record.getFrame().hasResponse()),
                        10));
        assertReported(1, "a second response", forged);
    }

    @Test
    void rule1AttemptAfterTheResponse() {
        List<Record> forged = new ArrayList<>(clean);
        Record attempt = findAttempt(record -> true);
        Record response =
                clean.stream()
                        .filter(
                                record ->
                                        isFromInitiator(record)
                                                && record.getFrame().hasResponse()
                                                && isSameRequest(attempt, record))
                        .findFirst()
                        .orElseThrow();
        forged.add(attempt.toBuilder().setAtMicros(response.getAtMicros() + 5).build());
        assertReported(1, "after its final response", forged);
    }

    /**
     * Guards against a failure of the audit: an attempt of a key-ordered request, sent after all
     * requests of its key had ended, made the audit throw an exception instead of reporting the
     * violation.
     */
    @Test
    void rule1AttemptAfterAllRequestsOfItsKeyEnded() {
        Record attempt =
                findAttempt(
                        record ->
                                record.getFrame().getAttempt().getRequestClass().equals("save")
                                        && !record.getObserver().equals("initiator-2")
                                        && clean.stream()
                                                .anyMatch(
                                                        other ->
                                                                delayed(record, 100_000)
                                                                                        .getAtMicros()
                                                                                < other
                                                                                        .getAtMicros()
                                                                        && other.getObserver()
                                                                                .equals(
                                                                                        record
                                                                                                .getObserver())
                                                                        && other.getDirection()
                                                                                == Direction.SENT
                                                                        && other.getFrame()
                                                                                .getAttempt()
                                                                                .getExtent()
                                                                                .equals(
                                                                                        record.getFrame()
                                                                                                .getAttempt()
                                                                                                .getExtent())
                                                                        && !other.getFrame()
                                                                                .getAttempt()
                                                                                .getRequestId()
                                                                                .equals(
                                                                                        record.getFrame()
                                                                                                .getAttempt()
                                                                                                .getRequestId())));
        List<Record> forged = new ArrayList<>(clean);
        forged.add(
                attempt.toBuilder()
                        .setAtMicros(clean.get(clean.size() - 1).getAtMicros() + 1)
                        .build());
        assertReported(1, "after its final response", forged);
    }

    @Test
    void rule2OneShotSentTwice() {
        List<Record> forged = new ArrayList<>(clean);
        Record attempt =
                findAttempt(
                        record ->
                                record.getFrame()
                                        .getAttempt()
                                        .getRequestClass()
                                        .equals("transfer"));
        forged.add(retryOf(attempt, 1));
        assertReported(2, "has two attempts in flight", forged);
    }

    @Test
    void rule2OneShotExecutedAtTwoTargets() {
        List<Record> forged = new ArrayList<>(clean);
        Record execution =
                findFirst(
                        record ->
                                record.getNote().getKind() == Note.Kind.EXECUTED
                                        && record.getNote().getText().endsWith("transfer"));
        forged.add(delayed(execution, 1_000).toBuilder().setObserver("t-other").build());
        assertReported(2, "executed at", forged);
    }

    @Test
    void rule2OneShotRejectedThoughPossiblyExecuted() {
        List<Record> forged = new ArrayList<>(clean);
        Record reply =
                findFirst(
                        record ->
                                isFromInitiator(record)
                                        && record.getFrame().hasAttemptReply()
                                        && record.getFrame().getAttemptReply().getOutcome()
                                                == Outcome.SUCCEEDED
                                        && isTransfer(record));
        Record attempt = attemptOf(reply);
        Record response =
                findFirst(
                        record ->
                                isFromInitiator(record)
                                        && record.getFrame().hasResponse()
                                        && isSameRequest(attempt, record));
        forged.remove(response);
        forged.add(
                response.toBuilder()
                        .setFrame(
                                response.getFrame().toBuilder()
                                        .setResponse(
                                                response.getFrame().getResponse().toBuilder()
                                                        .setStatusValue(2)))
                        .build());
        assertReported(2, "rejected though it may have been executed", forged);
    }

    @Test
    void rule3AttemptAfterTheGracePeriod() {
        List<Record> forged = new ArrayList<>(clean);
        Record list =
                findFirst(
                        record ->
                                isFromInitiator(record)
                                        && record.getDirection() == Direction.GOT
                                        && record.getFrame().hasEndpointList()
                                        && record
                                                .getFrame()
                                                .getEndpointList()
                                                .getTargetList()
                                                .stream()
                                                .anyMatch(
                                                        target ->
                                                                target.getHealth()
                                                                        == Health.DRAINING));
        String target = list.getFrame().getEndpointList().getTarget(0).getId();
        Record attempt =
                findAttempt(
                        record ->
                                record.getObserver().equals(list.getObserver())
                                        && record.getPeer().equals(target)
                                        && record.getAtMicros() < list.getAtMicros());
        forged.add(attempt.toBuilder().setAtMicros(list.getAtMicros() + 501_000).build());
        assertReported(3, "after the endpoint list withdrew it", forged);
    }

    @Test
    void rule4OverloadOfAWarmingTarget() {
        List<Record> forged = new ArrayList<>(clean);
        Record started =
                findFirst(
                        record ->
                                record.getNote().getKind() == Note.Kind.STARTED
                                        && record.getNote().getText().equals("cold"));
        Record received =
                findFirst(
                        record ->
                                record.getObserver().equals(started.getObserver())
                                        && record.getAtMicros() > started.getAtMicros() + 300_000
                                        && record.getDirection() == Direction.GOT
                                        && record.getFrame().hasAttempt());
        for (int micros = 1; micros < 4000; micros++) {
            forged.add(delayed(received, micros));
        }
        assertReported(4, "during slow start", forged);
    }

    @Test
    void rule5OutOfTurn() {
        List<Record> forged = new ArrayList<>(clean);
        Record attempt =
                findAttempt(
                        record ->
                                record.getFrame().getAttempt().getRequestClass().equals("save")
                                        && !record.getFrame().getAttempt().getExtent().isEmpty());
        Record request =
                findFirst(
                        record ->
                                isFromInitiator(record)
                                        && record.getFrame().hasRequest()
                                        && record.getDirection() == Direction.GOT
                                        && (record.getConnection()
                                                        + "-"
                                                        + record.getFrame()
                                                                .getRequest()
                                                                .getNumber())
                                                .equals(
                                                        attempt.getFrame()
                                                                .getAttempt()
                                                                .getRequestId())
                                        && record.getObserver().equals(attempt.getObserver()));
        // A second request of the same key arrives right after the first and is sent while the
        // attempt of the first is in flight.
        Record second =
                request.toBuilder()
                        .setAtMicros(request.getAtMicros() + 1)
                        .setFrame(
                                request.getFrame().toBuilder()
                                        .setRequest(
                                                request.getFrame().getRequest().toBuilder()
                                                        .setNumber(999_999_999)))
                        .build();
        forged.add(second);
        forged.add(
                attempt.toBuilder()
                        .setAtMicros(attempt.getAtMicros() + 1)
                        .setFrame(
                                attempt.getFrame().toBuilder()
                                        .setAttempt(
                                                attempt.getFrame().getAttempt().toBuilder()
                                                        .setRequestId(
                                                                request.getConnection()
                                                                        + "-999999999")
                                                        .setNumber(888_888_888)))
                        .build());
        assertReported(5, "before", forged);
    }

    @Test
    void rule6TooManyRetries() {
        List<Record> forged = new ArrayList<>(clean);
        Record attempt =
                findAttempt(
                        record ->
                                record.getFrame().getAttempt().getRequestClass().equals("lookup"));
        for (int micros = 1; micros < 300; micros++) {
            forged.add(retryOf(attempt, micros));
        }
        assertReported(6, "retries within the budget window", forged);
    }

    @Test
    void rule7BeyondTheLimit() {
        List<Record> forged = new ArrayList<>(clean);
        Record attempt =
                findAttempt(
                        record ->
                                record.getFrame().getAttempt().getVolume().startsWith("basic")
                                        && record.getFrame().getAttempt().getAttemptNumber() == 0);
        int index =
                forged.indexOf(
                        findFirst(
                                record ->
                                        isFromInitiator(record)
                                                && record.getFrame().hasRequest()
                                                && record.getObserver()
                                                        .equals(attempt.getObserver())
                                                && (record.getConnection()
                                                                + "-"
                                                                + record.getFrame()
                                                                        .getRequest()
                                                                        .getNumber())
                                                        .equals(
                                                                attempt.getFrame()
                                                                        .getAttempt()
                                                                        .getRequestId())));
        Record request = forged.get(index);
        forged.set(
                index,
                request.toBuilder()
                        .setFrame(
                                request.getFrame().toBuilder()
                                        .setRequest(
                                                request.getFrame().getRequest().toBuilder()
                                                        .setUnits(500)))
                        .build());
        assertReported(7, "beyond its limit", forged);
    }

    @Test
    void rule7LoweredLimitNotKept() {
        List<Record> forged = new ArrayList<>(clean);
        Record rulesNote = findFirst(record -> record.getNote().getKind() == Note.Kind.RULES);
        long firstAttemptAtMicros =
                findFirst(record -> isFromInitiator(record) && record.getFrame().hasAttempt())
                        .getAtMicros();
        forged.add(
                rulesNote.toBuilder()
                        .setAtMicros(firstAttemptAtMicros + 500_000)
                        .setNote(
                                rulesNote.getNote().toBuilder()
                                        .setText(
                                                rulesNote
                                                        .getNote()
                                                        .getText()
                                                        .replace("\"rate\":40.0", "\"rate\":1.0")
                                                        .replace(
                                                                "\"depth\":40.0", "\"depth\":1.0")))
                        .build());
        assertReported(7, "beyond its limit", forged);
        Audit.Report report = Audit.audit(forged);
        assertTrue(
                report.rule(7).closestCall().startsWith("1 limit changes"),
                report.rule(7).closestCall());
    }

    @Test
    void rejectsRecordingWithoutRuleSettings() {
        List<Record> forged =
                clean.stream()
                        .filter(record -> record.getNote().getKind() != Note.Kind.RULES)
                        .toList();
        assertThrows(IllegalArgumentException.class, () -> Audit.audit(forged));
    }

    // ---- Finding and forging records ----

    private static void assertReported(int rule, String expectedText, List<Record> forged) {
        Audit.Report report = Audit.audit(forged);
        assertTrue(
                report.rule(rule).violations() > 0,
                () -> "violation not found:\n" + report.text(true));
        assertTrue(
                report.rule(rule).details().stream().anyMatch(line -> line.contains(expectedText)),
                () -> report.text(true));
        assertTrue(
                report.rule(rule).details().stream().anyMatch(line -> line.trim().startsWith("#")),
                "the frames of the violation are not listed");
    }

    private static Record findFirst(Predicate<Record> condition) {
        return clean.stream().filter(condition).findFirst().orElseThrow();
    }

    private static boolean isReceivedByClient(Record record) {
        return record.getObserver().equals("client") && record.getDirection() == Direction.GOT;
    }

    private static Record requestOf(Record response) {
        return findFirst(
                record ->
                        record.getObserver().equals("client")
                                && record.getDirection() == Direction.SENT
                                && record.getConnection() == response.getConnection()
                                && record.getFrame().hasRequest()
                                && record.getFrame().getRequest().getNumber()
                                        == response.getFrame().getResponse().getNumber());
    }

    /**
     * Returns whether a stall was recorded while the request was open, or within a second after its
     * deadline; the audit excuses a response that is missing then.
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

    private static boolean isFromInitiator(Record record) {
        return record.getObserver().startsWith("initiator-");
    }

    private static Record findAttempt(Predicate<Record> condition) {
        return findFirst(
                record ->
                        isFromInitiator(record)
                                && record.getFrame().hasAttempt()
                                && record.getDirection() == Direction.SENT
                                && condition.test(record));
    }

    private static Record attemptOf(Record reply) {
        return findAttempt(
                record ->
                        record.getObserver().equals(reply.getObserver())
                                && record.getConnection() == reply.getConnection()
                                && record.getFrame().getAttempt().getNumber()
                                        == reply.getFrame().getAttemptReply().getNumber());
    }

    private static boolean isTransfer(Record reply) {
        return attemptOf(reply).getFrame().getAttempt().getRequestClass().equals("transfer");
    }

    private static boolean isSameRequest(Record attempt, Record response) {
        return response.getObserver().equals(attempt.getObserver())
                && attempt.getFrame()
                        .getAttempt()
                        .getRequestId()
                        .equals(
                                response.getConnection()
                                        + "-"
                                        + response.getFrame().getResponse().getNumber());
    }

    private static Record delayed(Record record, long micros) {
        return record.toBuilder().setAtMicros(record.getAtMicros() + micros).build();
    }

    /** Returns a copy of an attempt as a retry, sent {@code micros} later. */
    private static Record retryOf(Record attempt, int micros) {
        return attempt.toBuilder()
                .setAtMicros(attempt.getAtMicros() + micros)
                .setFrame(
                        attempt.getFrame().toBuilder()
                                .setAttempt(
                                        attempt.getFrame().getAttempt().toBuilder()
                                                .setAttemptNumber(1)
                                                .setNumber(777_000_000L + micros)))
                .build();
    }
}
