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

/** Runs a scenario in virtual time, with the initiators and stand-ins of {@link ScenarioRunner}. */
public final class SimulationRun {
    /**
     * Separates the network's random numbers from those of the scenario, which has the same seed.
     */
    private static final long NETWORK_SEED_MASK = 0x6C6162L;

    private static final long SEED_STEP_PER_VARIATION = 31;

    private SimulationRun() {}

    /**
     * The result of one run.
     *
     * @param serviceLevels service levels, latencies and request counts of the whole run
     * @param serviceLevelBySecond service level from the start to the end of each second
     * @param unfinished requests without a response after the last one should have ended
     * @param isClean whether every initiator that was running at the end shut down with no request
     *     pending
     * @param warmUpBudgetUsed the largest fraction of its warm-up capacity that any target was sent
     * @param digest a hash over every frame delivered and its time; equal for equal runs
     * @param eventCount number of events that were run
     * @param elapsedMicros wall-clock duration of the run, in microseconds
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
     * Runs a scenario with the production scheduler.
     *
     * @param recording file that receives the recorded frames; null for none
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(Scenario scenario, Path recording) throws IOException {
        return run(scenario, recording, false, null);
    }

    /**
     * Runs a scenario with a given scheduler.
     *
     * @param recording file that receives the recorded frames; null for none
     * @param bypassInitiators whether clients connect to the targets directly, for comparison
     * @param schedulerFactory creates the schedulers; null for the production scheduler
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(
            Scenario scenario,
            Path recording,
            boolean bypassInitiators,
            Supplier<Scheduler> schedulerFactory)
            throws IOException {
        return run(scenario, recording, bypassInitiators, schedulerFactory, 0);
    }

    /**
     * Runs a scenario with a given variation of the network latencies.
     *
     * @param recording file that receives the recorded frames; null for none
     * @param bypassInitiators whether clients connect to the targets directly, for comparison
     * @param schedulerFactory creates the schedulers; null for the production scheduler
     * @param variation changes the network's random numbers and leaves the scenario's unchanged; 0
     *     for those of the other overloads
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(
            Scenario scenario,
            Path recording,
            boolean bypassInitiators,
            Supplier<Scheduler> schedulerFactory,
            long variation)
            throws IOException {
        long startNanos = System.nanoTime();
        Scenario.Network network = scenario.network();
        SimulatedEnvironment.Timing timing =
                new SimulatedEnvironment.Timing(
                        network.latencyMicros()[0],
                        network.latencyMicros()[1],
                        network.loopTurnMicros());
        SimulatedEnvironment environment =
                new SimulatedEnvironment(
                        (scenario.seed() ^ NETWORK_SEED_MASK) + SEED_STEP_PER_VARIATION * variation,
                        timing);
        try (ScenarioRunner runner =
                new ScenarioRunner(
                        scenario,
                        recording,
                        bypassInitiators,
                        null,
                        environment,
                        schedulerFactory)) {
            List<Double> serviceLevelBySecond = new ArrayList<>();
            ScenarioRunner.ScenarioResult result =
                    runner.run(
                            levels -> serviceLevelBySecond.add(levels.overallServiceLevel()),
                            () -> {});
            return new SimulationResult(
                    result.serviceLevels(),
                    serviceLevelBySecond,
                    result.unfinished(),
                    result.isShutdownClean(),
                    result.warmUpBudgetUsed(),
                    environment.digest(),
                    environment.eventCount(),
                    (System.nanoTime() - startNanos) / 1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(
                    "interrupted while scenario " + scenario.name() + " was simulated", e);
        }
    }
}
