package milletyoke.simulation.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.script.Scenario;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.simulation.environment.SimulatedEnvironment;
import milletyoke.standins.ServiceLevelRecorder;

/**
 * Plays a day in virtual time: the rehearsal's own stage, daemons and stand-ins, in a world of the
 * lab.
 */
public final class SimulationRun {
    private SimulationRun() {}

    /**
     * What came of a day.
     *
     * @param serviceLevelBySecond service of each second's asking so far, in the order of time
     * @param unfinished tries still without an answer when all should have had one
     * @param isClean every initiator that was there at the end left with nothing unanswered
     * @param warmUpBudgetUsed the largest part of what a cold target bears that any was sent
     * @param digest stands for all that travelled and when
     * @param eventCount that happened
     * @param elapsedMicros microseconds that the play took
     */
    public record SimulationResult(
            ServiceLevelRecorder serviceLevels,
            List<Double> serviceLevelBySecond,
            long unfinished,
            boolean isClean,
            double warmUpBudgetUsed,
            long digest,
            long eventCount,
            long elapsedMicros) {}

    /**
     * @param recording where all that the ends of connections saw is written; null for nowhere
     */
    public static SimulationResult run(Scenario scenario, Path recording) throws IOException {
        return run(scenario, recording, false, null);
    }

    /**
     * @param straight clients go straight to the targets, for comparison
     * @param instead of the product's decisions; null for these
     */
    public static SimulationResult run(
            Scenario scenario, Path recording, boolean straight, Supplier<Scheduler> instead)
            throws IOException {
        return run(scenario, recording, straight, instead, 0);
    }

    /**
     * @param turn another one is the same day with the same draws, and frames travel otherwise, as
     *     no play on sockets is the next
     */
    public static SimulationResult run(
            Scenario scenario,
            Path recording,
            boolean straight,
            Supplier<Scheduler> instead,
            long turn)
            throws IOException {
        long began = System.nanoTime();
        Scenario.Network n = scenario.network();
        SimulatedEnvironment.Physics physics =
                new SimulatedEnvironment.Physics(
                        n.latencyMicros()[0], n.latencyMicros()[1], n.loopTurnMicros());
        SimulatedEnvironment world =
                new SimulatedEnvironment((scenario.seed() ^ 0x6C6162L) + 31 * turn, physics);
        try (ScenarioRunner runner =
                new ScenarioRunner(scenario, recording, straight, null, world, instead)) {
            List<Double> seconds = new ArrayList<>();
            ScenarioRunner.ScenarioResult result =
                    runner.run(service -> seconds.add(service.overallServiceLevel()), () -> {});
            return new SimulationResult(
                    result.serviceLevels(),
                    seconds,
                    result.unfinished(),
                    result.isShutdownClean(),
                    result.warmUpBudgetUsed(),
                    world.digest(),
                    world.eventCount(),
                    (System.nanoTime() - began) / 1000);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + scenario.name() + " was played", stopped);
        }
    }
}
