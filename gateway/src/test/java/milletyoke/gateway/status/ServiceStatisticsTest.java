package milletyoke.gateway.status;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;
import org.junit.jupiter.api.Test;

class ServiceStatisticsTest {
    private static ServiceStatistics accounts() {
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

    /** Few times and many are told alike, and a second's row holds that second's only. */
    @Test
    void percentilesOfASecondWhetherFewOrMany() {
        SplittableRandom chance = new SplittableRandom(4);
        ServiceStatistics accounts = accounts();
        int second = 1;
        for (int count : new int[] {1, 2, 3, 10, 63, 64, 65, 100, 5_000, 7}) {
            int[] times = new int[count];
            for (int i = 0; i < count; i++) {
                times[i] = 100 + chance.nextInt(200_000);
                accounts.onRequest(second * 1_000_000L, "read", "free", "v");
                accounts.onRequestEnd(
                        second * 1_000_000L,
                        "read",
                        "free",
                        "v",
                        ServiceStatistics.Outcome.ANSWERED,
                        times[i]);
            }
            Arrays.sort(times);
            accounts.advanceTo((second + 1) * 1_000_000L);
            for (String series : List.of("category:read", "plan:free", "volume:v")) {
                StatusSnapshot.SecondSummary told =
                        accounts.rows((second + 1) * 1_000_000L, 1).get(0).series().get(series);
                assertEquals(count, told.answered());
                assertNear(times[Math.max(0, (count * 50 + 99) / 100 - 1)], told.p50Micros());
                assertNear(times[Math.max(0, (count * 99 + 99) / 100 - 1)], told.p99Micros());
            }
            second++;
        }
    }

    private static void assertNear(int expected, int told) {
        assertTrue(Math.abs(told - expected) <= expected * 0.02 + 1, told + " for " + expected);
    }

    /**
     * Volumes beyond those with a series are counted together, and a slot not used in a second
     * comes free.
     */
    @Test
    void seriesAreBoundedAndSlotsComeFree() {
        ServiceStatistics accounts = accounts();
        for (int v = 0; v < 1_000; v++) {
            accounts.onRequest(1_000_000, "read", "free", "v" + v);
        }
        accounts.onRequest(2_000_000, "read", "free", "v999");
        accounts.advanceTo(3_000_000);
        List<ServiceStatistics.Row> rows = accounts.rows(3_000_000, 2);
        assertEquals(
                1_000 - ServiceStatistics.MAX_SERIES,
                rows.get(0).series().get("volume:others").requests());
        assertEquals(ServiceStatistics.MAX_SERIES + 3, rows.get(0).series().size());
        accounts.onRequest(3_000_000, "read", "free", "v999");
        accounts.advanceTo(4_000_000);
        assertEquals(
                1,
                accounts.rows(4_000_000, 1).get(0).series().get("volume:v999").requests(),
                "it has a slot of its own now");
    }
}
