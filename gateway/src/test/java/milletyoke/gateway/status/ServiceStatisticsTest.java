package milletyoke.gateway.status;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
import org.junit.jupiter.api.Test;

/** Tests latency percentiles, the maximum number of series and the rows of past seconds. */
class ServiceStatisticsTest {
    private static ServiceStatistics newStatistics() {
        return new ServiceStatistics(
                new SchedulerSettings(
                        1,
                        List.of(
                                new RequestClass(
                                        "read",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        false,
                                        100_000,
                                        1)),
                        List.of(new ServicePlan("free", 0, 1, 0, 0, 0)),
                        new Capabilities(1, false, false, false, 0),
                        new RuleLimits(0, 0, 1, 0, 0, 1, 0, 0, 0, 0),
                        false));
    }

    /** Array and histogram give the same percentiles; a row covers a single second. */
    @Test
    void percentilesOfASecondWithFewAndManyLatencies() {
        SplittableRandom random = new SplittableRandom(4);
        ServiceStatistics statistics = newStatistics();
        int second = 1;
        for (int count : new int[] {1, 2, 3, 10, 63, 64, 65, 100, 5_000, 7}) {
            int[] latencies = new int[count];
            for (int i = 0; i < count; i++) {
                latencies[i] = 100 + random.nextInt(200_000);
                statistics.onRequest(second * 1_000_000L, "read", "free", "v");
                statistics.onRequestEnd(
                        second * 1_000_000L,
                        "read",
                        "free",
                        "v",
                        ServiceStatistics.Outcome.ANSWERED,
                        latencies[i]);
            }
            Arrays.sort(latencies);
            statistics.advanceTo((second + 1) * 1_000_000L);
            for (String series : List.of("category:read", "plan:free", "volume:v")) {
                StatusSnapshot.SecondSummary summary =
                        statistics.rows((second + 1) * 1_000_000L, 1).get(0).series().get(series);
                assertEquals(count, summary.answered());
                assertNear(
                        latencies[Math.max(0, (count * 50 + 99) / 100 - 1)], summary.p50Micros());
                assertNear(
                        latencies[Math.max(0, (count * 99 + 99) / 100 - 1)], summary.p99Micros());
            }
            second++;
        }
    }

    private static void assertNear(int expected, int actual) {
        assertTrue(
                Math.abs(actual - expected) <= expected * 0.02 + 1,
                actual + " us, expected about " + expected);
    }

    /**
     * Volumes beyond the maximum are counted together; a series without events in a second is
     * replaced.
     */
    @Test
    void seriesAreBoundedAndUnusedOnesMakeRoom() {
        ServiceStatistics statistics = newStatistics();
        for (int volume = 0; volume < 1_000; volume++) {
            statistics.onRequest(1_000_000, "read", "free", "v" + volume);
        }
        statistics.onRequest(2_000_000, "read", "free", "v999");
        statistics.advanceTo(3_000_000);
        List<ServiceStatistics.Row> rows = statistics.rows(3_000_000, 2);
        assertEquals(
                1_000 - ServiceStatistics.MAX_SERIES,
                rows.get(0).series().get("volume:others").requests());
        assertEquals(ServiceStatistics.MAX_SERIES + 3, rows.get(0).series().size());
        statistics.onRequest(3_000_000, "read", "free", "v999");
        statistics.advanceTo(4_000_000);
        assertEquals(
                1,
                statistics.rows(4_000_000, 1).get(0).series().get("volume:v999").requests(),
                "v999 must have its own series once others are unused");
    }
}
