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
 * Runs an experiment's simulations on a fixed number of threads. Each run uses a single thread, so
 * the number of threads does not affect the results.
 */
public final class ExperimentRunner {
    private final Experiment experiment;
    private final ResultStore results;
    private final int threads;
    private final Map<String, Supplier<Scheduler>> variants = new LinkedHashMap<>();

    /**
     * Creates a runner.
     *
     * @param results the store that results are added to; its runs are not repeated
     * @param threads number of runs at the same time
     */
    public ExperimentRunner(Experiment experiment, ResultStore results, int threads) {
        this.experiment = experiment;
        this.results = results;
        this.threads = threads;
    }

    /**
     * Executes all runs that have no stored result yet.
     *
     * @param progress receives a line of text after each run
     * @return number of runs executed
     * @throws IOException if a variant is invalid, a run fails or a result cannot be stored
     * @throws InterruptedException if the calling thread is interrupted
     */
    public int run(Consumer<String> progress) throws IOException, InterruptedException {
        for (Experiment.Run run : experiment.runs()) {
            String variant = run.arm().variant().replace("{x}", run.value());
            if (!variant.isEmpty() && !variants.containsKey(variant)) {
                variants.put(
                        variant,
                        SchedulerVariant.of(variant)); // parse errors are reported before any run
            }
        }
        List<Experiment.Run> missing =
                experiment.runs().stream().filter(run -> !results.has(run.key())).toList();
        ExecutorService workers = Executors.newFixedThreadPool(threads);
        try {
            ExecutorCompletionService<ResultRow> completions =
                    new ExecutorCompletionService<>(workers);
            missing.forEach(run -> completions.submit(() -> execute(run)));
            for (int completed = 1; completed <= missing.size(); completed++) {
                ResultRow row = completions.take().get();
                results.add(row);
                progress.accept(
                        String.format(
                                "%d of %d: %s %s seed %d  service %.4f",
                                completed,
                                missing.size(),
                                row.arm(),
                                row.value(),
                                row.seed(),
                                row.service()));
            }
            return missing.size();
        } catch (ExecutionException e) {
            throw new IOException("simulation run failed: " + e.getCause(), e.getCause());
        } finally {
            workers.shutdownNow();
        }
    }

    private ResultRow execute(Experiment.Run run) throws IOException, ScenarioFormatException {
        Experiment.Arm arm = run.arm();
        Supplier<Scheduler> schedulerFactory =
                arm.variant().isEmpty()
                        ? arm.scheduler().schedulerFactory()
                        : variants.get(arm.variant().replace("{x}", run.value()));
        SimulationRun.SimulationResult result =
                SimulationRun.run(
                        experiment.scenarioOf(run), null, arm.bypassInitiators(), schedulerFactory);
        ServiceLevelRecorder serviceLevels = result.serviceLevels();
        Map<String, Double> serviceLevelByClass = new LinkedHashMap<>();
        serviceLevels
                .requestClasses()
                .forEach(
                        (name, requestClass) ->
                                serviceLevelByClass.put(name, requestClass.serviceLevel()));
        return new ResultRow(
                arm.name(),
                run.value(),
                run.seed(),
                serviceLevels.overallServiceLevel(),
                serviceLevelByClass,
                serviceLevels.inTimeByPlan(),
                result.serviceLevelBySecond(),
                serviceLevels.latencies().getValueAtPercentile(50) / 1e3,
                serviceLevels.latencies().getValueAtPercentile(99) / 1e3,
                serviceLevels.fairnessIndex(),
                result.warmUpBudgetUsed(),
                serviceLevels.totalRequests(),
                result.unfinished(),
                String.format("%016x", result.digest()),
                result.eventCount(),
                result.elapsedMicros());
    }
}
