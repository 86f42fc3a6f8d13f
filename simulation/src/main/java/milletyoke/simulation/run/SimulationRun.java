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
     * @param seconds service of each second's asking so far, in the order of time
     * @param unfinished tries still without an answer when all should have had one
     * @param isClean every initiator that was there at the end left with nothing unanswered
     * @param coldUsed the largest part of what a cold target bears that any was sent
     * @param digest stands for all that travelled and when
     * @param events that happened
     * @param wall microseconds that the play took
     */
    public record SimulationResult(
            ServiceLevelRecorder service,
            List<Double> seconds,
            long unfinished,
            boolean isClean,
            double coldUsed,
            long digest,
            long events,
            long wall) {}

    /**
     * @param recording where all that the ends of connections saw is written; null for nowhere
     */
    public static SimulationResult of(Scenario day, Path recording) throws IOException {
        return of(day, recording, false, null);
    }

    /**
     * @param straight clients go straight to the targets, for comparison
     * @param instead of the product's decisions; null for these
     */
    public static SimulationResult of(
            Scenario day, Path recording, boolean straight, Supplier<Scheduler> instead)
            throws IOException {
        return of(day, recording, straight, instead, 0);
    }

    /**
     * @param turn another one is the same day with the same draws, and frames travel otherwise, as
     *     no play on sockets is the next
     */
    public static SimulationResult of(
            Scenario day, Path recording, boolean straight, Supplier<Scheduler> instead, long turn)
            throws IOException {
        long began = System.nanoTime();
        Scenario.Network n = day.network();
        SimulatedEnvironment.Physics physics =
                new SimulatedEnvironment.Physics(n.travel()[0], n.travel()[1], n.turn());
        SimulatedEnvironment world =
                new SimulatedEnvironment((day.seed() ^ 0x6C6162L) + 31 * turn, physics);
        try (ScenarioRunner stage =
                new ScenarioRunner(day, recording, straight, null, world, instead)) {
            List<Double> seconds = new ArrayList<>();
            ScenarioRunner.ScenarioResult played =
                    stage.run(service -> seconds.add(service.overallServiceLevel()), () -> {});
            return new SimulationResult(
                    played.service(),
                    seconds,
                    played.unfinished(),
                    played.isShutdownClean(),
                    played.warmUpBudgetUsed(),
                    world.digest(),
                    world.happened(),
                    (System.nanoTime() - began) / 1000);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while " + day.name() + " was played", stopped);
        }
    }
}
