package milletyoke.simulation.experiment;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.Supplier;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scheduler.api.Scheduler;
import milletyoke.simulation.policy.SchedulerVariant;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.standins.ServiceLevelRecorder;

/**
 * Plays what an experiment asks for on so many threads; each play is one thread's, so their number
 * changes no figure.
 */
public final class ExperimentRunner {
    private final Experiment experiment;
    private final ResultStore results;
    private final int threads;
    private final Map<String, Supplier<Scheduler>> variants = new LinkedHashMap<>();

    public ExperimentRunner(Experiment experiment, ResultStore results, int threads) {
        this.experiment = experiment;
        this.results = results;
        this.threads = threads;
    }

    /**
     * Plays all that the results do not have yet. @param progress hears a line after each; @return
     * plays made
     */
    public int run(Consumer<String> progress) throws IOException, InterruptedException {
        for (Experiment.Run run : experiment.runs()) {
            String text = run.arm().variant().replace("{x}", run.value());
            if (!text.isEmpty() && !variants.containsKey(text)) {
                variants.put(text, SchedulerVariant.of(text)); // all are read before any is played
            }
        }
        List<Experiment.Run> missing =
                experiment.runs().stream().filter(r -> !results.has(r.key())).toList();
        ExecutorService workers = Executors.newFixedThreadPool(threads);
        try {
            ExecutorCompletionService<ResultRow> plays = new ExecutorCompletionService<>(workers);
            missing.forEach(run -> plays.submit(() -> play(run)));
            for (int done = 1; done <= missing.size(); done++) {
                ResultRow row = plays.take().get();
                results.add(row);
                progress.accept(
                        String.format(
                                "%d of %d: %s %s seed %d  service %.4f",
                                done,
                                missing.size(),
                                row.arm(),
                                row.value(),
                                row.seed(),
                                row.service()));
            }
            return missing.size();
        } catch (ExecutionException failed) {
            throw new IOException("a play failed: " + failed.getCause(), failed.getCause());
        } finally {
            workers.shutdownNow();
        }
    }

    private ResultRow play(Experiment.Run run) throws IOException, ScenarioFormatException {
        Experiment.Arm arm = run.arm();
        Supplier<Scheduler> decisions =
                arm.variant().isEmpty()
                        ? arm.scheduler().decisions()
                        : variants.get(arm.variant().replace("{x}", run.value()));
        SimulationRun.SimulationResult result =
                SimulationRun.run(experiment.dayOf(run), null, arm.straight(), decisions);
        ServiceLevelRecorder s = result.serviceLevels();
        Map<String, Double> categories = new LinkedHashMap<>();
        s.requestClasses().forEach((name, line) -> categories.put(name, line.serviceLevel()));
        return new ResultRow(
                arm.name(),
                run.value(),
                run.seed(),
                s.overallServiceLevel(),
                categories,
                s.inTimeByPlan(),
                result.serviceLevelBySecond(),
                s.latencies().getValueAtPercentile(50) / 1e3,
                s.latencies().getValueAtPercentile(99) / 1e3,
                s.fairnessIndex(),
                result.warmUpBudgetUsed(),
                s.totalRequests(),
                result.unfinished(),
                String.format("%016x", result.digest()),
                result.eventCount(),
                result.elapsedMicros());
    }
}
