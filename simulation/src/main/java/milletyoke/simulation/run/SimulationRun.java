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

/** Runs a scenario in virtual time, with the scenario runner's own daemons and stand-ins. */
public final class SimulationRun {
    /** Keeps the draws of the network apart from those of the scenario, which has the same seed. */
    private static final long NETWORK_SEED_MASK = 0x6C6162L;

    private static final long SEED_STEP_PER_TURN = 31;

    private SimulationRun() {}

    /**
     * The result of one run.
     *
     * @param serviceLevelBySecond service level up to the end of each second, in order of time
     * @param unfinished attempts without a reply when all should have had one
     * @param isClean every initiator that ran at the end shut down with no request pending
     * @param warmUpBudgetUsed the largest fraction of its warm-up capacity that any target was sent
     * @param digest a hash over every frame delivered and its time; equal for equal runs
     * @param eventCount events that were executed
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
     * Runs a scenario with the product's own scheduler.
     *
     * @param recording file that receives the recorded frames; null for none
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(Scenario scenario, Path recording) throws IOException {
        return run(scenario, recording, false, null);
    }

    /**
     * Runs a scenario with a scheduler of the caller's choice.
     *
     * @param recording file that receives the recorded frames; null for none
     * @param straight whether clients connect to the targets directly, for comparison
     * @param instead creates the scheduler; null for the product's own
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(
            Scenario scenario, Path recording, boolean straight, Supplier<Scheduler> instead)
            throws IOException {
        return run(scenario, recording, straight, instead, 0);
    }

    /**
     * Runs a scenario with the network latencies of a given repetition.
     *
     * @param recording file that receives the recorded frames; null for none
     * @param straight whether clients connect to the targets directly, for comparison
     * @param instead creates the scheduler; null for the product's own
     * @param turn number of the repetition: another one changes the network's draws and leaves the
     *     scenario's as they are
     * @throws IOException if the run fails or its thread is interrupted
     */
    public static SimulationResult run(
            Scenario scenario,
            Path recording,
            boolean straight,
            Supplier<Scheduler> instead,
            long turn)
            throws IOException {
        long startNanos = System.nanoTime();
        Scenario.Network network = scenario.network();
        SimulatedEnvironment.Physics physics =
                new SimulatedEnvironment.Physics(
                        network.latencyMicros()[0],
                        network.latencyMicros()[1],
                        network.loopTurnMicros());
        SimulatedEnvironment environment =
                new SimulatedEnvironment(
                        (scenario.seed() ^ NETWORK_SEED_MASK) + SEED_STEP_PER_TURN * turn, physics);
        try (ScenarioRunner runner =
                new ScenarioRunner(scenario, recording, straight, null, environment, instead)) {
            List<Double> seconds = new ArrayList<>();
            ScenarioRunner.ScenarioResult result =
                    runner.run(service -> seconds.add(service.overallServiceLevel()), () -> {});
            return new SimulationResult(
                    result.serviceLevels(),
                    seconds,
                    result.unfinished(),
                    result.isShutdownClean(),
                    result.warmUpBudgetUsed(),
                    environment.digest(),
                    environment.eventCount(),
                    (System.nanoTime() - startNanos) / 1000);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + scenario.name() + " was played", stopped);
        }
    }
}
