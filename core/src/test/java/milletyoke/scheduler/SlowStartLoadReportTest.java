package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;

import milletyoke.scheduler.SlowStartFleet.Probes;
import milletyoke.scheduler.SlowStartFleet.Result;
import milletyoke.scheduler.SlowStartFleet.Scenario;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A target that warms up was sent far more than its bound, although each initiator was told that
 * hardly anything was queued there. Its probes are answered beside the work, and part of the work
 * is put off, so answers come early too. Seen on sockets: one initiator sent 41 units in a second,
 * 3.8 times what the target could do, while its probes reported 3 to 13 ms of queue.
 *
 * <p>The cause: any one slow probe, such as one whose connection came up late, made all reports of
 * all targets count as proof of room, and a quick probe then let a request pass without limit. The
 * evidence: 1,535 of 1,558 sends to warming targets in the traced play went by such reports, and in
 * this model no play passes the bound when initiators send no probes.
 */
class SlowStartLoadReportTest {
    private static final long FIRST_SEED = 11;
    private static final long SEED_COUNT = 3;
    private static final long TIME_TO_LIVE_MICROS = 2_500_000;
    private static final int INITIATORS_PER_BUSY_ONE = 20;

    /** The sum of all initiators stays under N and 2 x root of N + 2 in each overload window. */
    @ParameterizedTest
    @CsvSource({
        "20,30,200,0,true,0.02,0.8",
        "20,30,4000,6,true,0.02,0.8",
        "30,12,400,8,true,0.05,0.5",
        "100,8,1000,0,true,0.02,0.8",
        "100,30,4000,30,true,0.02,0.8",
        "100,60,1000,0,true,0.02,0.8",
        "100,60,4000,0,false,0.02,0",
        "200,60,1000,20,true,0.2,0.8",
        "3,30,200,1,false,0.2,0.5"
    })
    void probesAnsweredBesideTheWorkDoNotLiftTheBound(
            int initiators,
            double capacity,
            double demand,
            int restarts,
            boolean uneven,
            double lateConnectionShare,
            double deferredShare) {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            Result result =
                    SlowStartFleet.play(
                            new Scenario(
                                    initiators,
                                    capacity,
                                    demand,
                                    restarts,
                                    Probes.BESIDE_WORK,
                                    uneven,
                                    Math.max(1, initiators / INITIATORS_PER_BUSY_ONE),
                                    TIME_TO_LIVE_MICROS,
                                    lateConnectionShare,
                                    deferredShare,
                                    seed));
            assertTrue(
                    result.excessUnits() <= 0,
                    "over the bound by " + result.excessUnits() + " units, seed " + seed);
        }
    }
}
