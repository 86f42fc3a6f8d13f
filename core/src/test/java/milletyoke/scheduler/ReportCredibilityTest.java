package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which attempts make load reports credible, and which revoke that. */
class ReportCredibilityTest {
    private static final long UNLOADED_MICROS = 20_000;
    private static final double TOLERABLE_MICROS = 125_000;
    private static final double QUEUE_MICROS = 60_000;

    private ReportCredibility credibility;

    @BeforeEach
    void createWithKnownUnloadedLatency() {
        LoadEstimates estimates = new LoadEstimates(SchedulerTuning.DEFAULT);
        estimates.recordUnloadedLatency(UNLOADED_MICROS);
        credibility = new ReportCredibility(estimates, SchedulerTuning.DEFAULT);
    }

    private void record(double reportedMicros, long latencyMicros) {
        credibility.record(reportedMicros, latencyMicros, TOLERABLE_MICROS);
    }

    private void confirmTwice() {
        record(QUEUE_MICROS, 70_000);
        record(QUEUE_MICROS, 70_000);
    }

    @Test
    void twoConfirmedQueueDelaysMakeReportsCredible() {
        record(QUEUE_MICROS, 70_000);
        assertFalse(credibility.isCredible());
        record(QUEUE_MICROS, 70_000);
        assertTrue(credibility.isCredible());
    }

    @Test
    void reportsOfNoQueueConfirmNothing() {
        for (int i = 0; i < 100; i++) {
            record(3_000, UNLOADED_MICROS);
        }
        assertFalse(credibility.isCredible());
    }

    @Test
    void responseFarLaterThanReportedRevokesCredibility() {
        confirmTwice();
        record(3_000, 200_000);
        assertFalse(credibility.isCredible());
    }

    @Test
    void reportedQueueWithoutDelayRevokesCredibility() {
        confirmTwice();
        record(QUEUE_MICROS, UNLOADED_MICROS);
        assertFalse(credibility.isCredible());
    }

    @Test
    void slowProbeIsNotConfirmedByEvenSlowerResponse() {
        for (int i = 0; i < 100; i++) {
            record(QUEUE_MICROS, 900_000);
        }
        assertFalse(credibility.isCredible());
    }
}
