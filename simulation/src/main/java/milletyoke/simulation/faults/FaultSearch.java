package milletyoke.simulation.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.simulation.run.SimulationRun;

/**
 * Searches random sets of faults for one that breaks a rule or costs most service, and shrinks it.
 */
public final class FaultSearch {
    /** The kind of failure that is searched for. */
    public enum SearchGoal {
        /** A broken rule, a request without a response, an unclean shutdown or a failed run. */
        RULES,
        /** The lowest service level. */
        SERVICE
    }

    /**
     * The result of running one generated scenario.
     *
     * @param serviceLevel service level of the whole run; 0 if the run failed
     * @param isBroken whether a rule was broken, a request was left without a response, an
     *     initiator did not shut down cleanly, or the run failed
     * @param reason why the run counts as broken, in one line; empty if it does not
     */
    public record SearchResult(
            Scenario scenario, double serviceLevel, boolean isBroken, String reason) {}

    /** Fraction of the loss of service that a shrunk scenario must still cause. */
    private static final double KEPT_LOSS_FRACTION = 0.9;

    private final Scenario base;
    private final FaultGenerator.Ranges ranges;
    private final int threads;

    /**
     * Creates a search.
     *
     * @param base the scenario whose faults are replaced
     * @param threads number of scenarios that run at the same time
     */
    public FaultSearch(Scenario base, FaultGenerator.Ranges ranges, int threads) {
        this.base = base;
        this.ranges = ranges;
        this.threads = threads;
    }

    /**
     * Runs generated scenarios with consecutive seeds.
     *
     * @param runs number of scenarios
     * @return all results, the worst first; independent of the number of threads
     * @throws IOException if a scenario cannot be run
     * @throws InterruptedException if the calling thread is interrupted
     */
    public List<SearchResult> run(long firstSeed, int runs, SearchGoal goal)
            throws InterruptedException, IOException {
        ExecutorService workers = Executors.newFixedThreadPool(threads);
        try {
            List<Future<SearchResult>> futures = new ArrayList<>();
            for (int i = 0; i < runs; i++) {
                Scenario scenario = FaultGenerator.generate(base, firstSeed + i, ranges);
                futures.add(workers.submit(() -> evaluate(scenario, goal == SearchGoal.RULES)));
            }
            List<SearchResult> results = new ArrayList<>();
            for (Future<SearchResult> future : futures) {
                results.add(future.get());
            }
            results.sort(
                    Comparator.comparing((SearchResult result) -> !result.isBroken())
                            .thenComparingDouble(SearchResult::serviceLevel)
                            .thenComparing(result -> result.scenario().name()));
            return results;
        } catch (ExecutionException e) {
            throw new IOException("a generated scenario could not be run", e.getCause());
        } finally {
            workers.shutdownNow();
        }
    }

    /**
     * Runs a scenario and evaluates the result.
     *
     * @param audited whether the rules are checked too, which requires a recording
     */
    public static SearchResult evaluate(Scenario scenario, boolean audited) {
        Path recording = null;
        try {
            recording = audited ? Files.createTempFile("milletyoke-", ".recording") : null;
            SimulationRun.SimulationResult result = SimulationRun.run(scenario, recording);
            String reason =
                    result.unfinished() > 0
                            ? result.unfinished() + " requests without a response"
                            : !result.isClean() ? "an initiator did not shut down cleanly" : "";
            if (audited && reason.isEmpty()) {
                Audit.Report report = Audit.audit(recording);
                reason =
                        report.isClean()
                                ? ""
                                : report.text(false)
                                        .lines()
                                        .filter(line -> line.contains("BREACHES"))
                                        .findFirst()
                                        .orElse("a rule was broken")
                                        .strip();
            }
            return new SearchResult(
                    scenario,
                    result.serviceLevels().overallServiceLevel(),
                    !reason.isEmpty(),
                    reason);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (RuntimeException e) {
            return new SearchResult(scenario, 0, true, "the run failed: " + e);
        } finally {
            delete(recording);
        }
    }

    private static void delete(Path recording) {
        try {
            if (recording != null) {
                Files.deleteIfExists(recording);
            }
        } catch (IOException e) {
            recording.toFile().deleteOnExit();
        }
    }

    /**
     * Shrinks the faults of a result to a smaller set that still fails or, for {@link
     * SearchGoal#SERVICE}, still causes nine tenths of the loss of service.
     */
    public SearchResult shrink(SearchResult found, SearchGoal goal) {
        double faultFreeServiceLevel =
                evaluate(
                                base.withFaults(
                                        found.scenario().name(),
                                        found.scenario().seed(),
                                        List.of()),
                                false)
                        .serviceLevel();
        double maxServiceLevel =
                faultFreeServiceLevel
                        - KEPT_LOSS_FRACTION * (faultFreeServiceLevel - found.serviceLevel());
        ScenarioShrinker shrinker =
                new ScenarioShrinker(
                        scenario -> {
                            SearchResult result = evaluate(scenario, goal == SearchGoal.RULES);
                            return goal == SearchGoal.RULES
                                    ? result.isBroken()
                                    : result.serviceLevel() <= maxServiceLevel;
                        });
        return evaluate(shrinker.shrink(found.scenario()), goal == SearchGoal.RULES);
    }

    /**
     * Returns a scenario script: the base script with its seed and faults replaced by those of a
     * result.
     */
    public static String script(String baseText, SearchResult found) {
        String baseStatements =
                baseText.lines()
                        .filter(
                                line ->
                                        !line.strip().startsWith("at ")
                                                && !line.strip().startsWith("then ")
                                                && !line.strip().startsWith("when ")
                                                && !line.strip().startsWith("seed ")
                                                && !line.strip().startsWith("#"))
                        .collect(Collectors.joining("\n"));
        String faultStatements =
                found.scenario().faults().stream()
                        .map(FaultFormatter::format)
                        .collect(Collectors.joining("\n"));
        String finding =
                found.isBroken()
                        ? found.reason()
                        : String.format(
                                "service level %.4f in the simulation", found.serviceLevel());
        return "# Found by fault search: "
                + finding
                + ".\nseed "
                + found.scenario().seed()
                + "\n"
                + baseStatements.strip()
                + "\n"
                + faultStatements
                + "\n";
    }
}
