package milletyoke.cli.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.faults.FaultGenerator;
import milletyoke.simulation.faults.FaultSearch;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code simulate search-faults}: searches random fault sets for the worst run. */
@Command(
        name = "search-faults",
        aliases = "hunt",
        mixinStandardHelpOptions = true,
        description =
                "Runs a scenario with random sets of faults and shrinks the set of the worst run;"
                        + " exits with 1 if a run violated a rule, left a request unanswered or failed.")
final class SearchFaultsCommand implements Callable<Integer> {
    private static final int SHOWN_RUNS = 5;
    private static final double PERCENT = 100;

    @Parameters(paramLabel = "SCRIPT", description = "The scenario whose faults are replaced.")
    private Path script;

    @Option(
            names = "--storms",
            paramLabel = "N",
            description = "Number of runs, each with its own set of faults (${DEFAULT-VALUE}).")
    private int runs = 100;

    @Option(
            names = "--seed",
            paramLabel = "S",
            description = "Seed of the first run (${DEFAULT-VALUE}).")
    private long seed = 1;

    @Option(
            names = "--troubles",
            paramLabel = "N",
            description = "Maximum number of faults in one run (${DEFAULT-VALUE}).")
    private int maxFaults = 5;

    @Option(
            names = "--only",
            paramLabel = "TYPES",
            split = ",",
            description =
                    "Types of faults to draw from, for example HANG,SLOW;"
                            + " by default all of ${COMPLETION-CANDIDATES}.")
    private List<Scenario.FaultType> faultTypes = List.of();

    @Option(
            names = "--least",
            paramLabel = "PERCENT",
            description = "Minimum share of the targets that one fault affects (${DEFAULT-VALUE}).")
    private double minTargetPercent = 10;

    @Option(
            names = "--most",
            paramLabel = "PERCENT",
            description = "Maximum share of the targets that one fault affects (${DEFAULT-VALUE}).")
    private double maxTargetPercent = 80;

    @Option(
            names = "--longest",
            paramLabel = "PERCENT",
            description =
                    "Maximum duration of one fault, as a share of the scenario (${DEFAULT-VALUE}).")
    private double maxDurationPercent = 50;

    @Option(
            names = "--for",
            paramLabel = "GOAL",
            description =
                    "What counts as worst, ${COMPLETION-CANDIDATES}: a violated rule, or the lowest service level.")
    private FaultSearch.SearchGoal goal = FaultSearch.SearchGoal.RULES;

    @Option(
            names = "--keep",
            paramLabel = "FILE",
            description = "Write the shrunk worst run to this file as a scenario script.")
    private Path keptScript;

    @Option(
            names = "--threads",
            paramLabel = "N",
            description = "Number of concurrent runs; by default one per core.")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Override
    public Integer call() throws Exception {
        if (runs < 1 || maxFaults < 1) {
            throw new IllegalArgumentException("--storms and --troubles must be at least 1");
        }
        FaultGenerator.Ranges ranges = ranges();
        FaultSearch search =
                new FaultSearch(ScenarioParser.read(script), ranges, Math.max(1, threads));
        List<FaultSearch.SearchResult> worstFirst = search.run(seed, runs, goal);
        long failedRuns = worstFirst.stream().filter(FaultSearch.SearchResult::isBroken).count();
        printResults(worstFirst, failedRuns);
        FaultSearch.SearchResult worst = worstFirst.get(0);
        if (worst.isBroken() || goal == FaultSearch.SearchGoal.SERVICE) {
            shrink(search, worst);
        }
        return failedRuns > 0 ? ExitCode.SOFTWARE : ExitCode.OK;
    }

    private FaultGenerator.Ranges ranges() {
        FaultGenerator.Ranges defaults = FaultGenerator.Ranges.defaults(maxFaults);
        return new FaultGenerator.Ranges(
                faultTypes.isEmpty() ? defaults.faultTypes() : faultTypes,
                maxFaults,
                minTargetPercent / PERCENT,
                maxTargetPercent / PERCENT,
                maxDurationPercent / PERCENT);
    }

    private static void printResults(List<FaultSearch.SearchResult> worstFirst, long failedRuns) {
        worstFirst.stream().limit(SHOWN_RUNS).forEach(SearchFaultsCommand::printRun);
        double meanServiceLevel =
                worstFirst.stream()
                        .mapToDouble(FaultSearch.SearchResult::serviceLevel)
                        .average()
                        .orElse(0);
        System.out.printf(
                "%d runs, %d of them failed, mean service %.4f%n",
                worstFirst.size(), failedRuns, meanServiceLevel);
    }

    private static void printRun(FaultSearch.SearchResult run) {
        System.out.printf(
                "%-40s service %.4f  %s%n",
                run.scenario().name(), run.serviceLevel(), run.reason());
    }

    private void shrink(FaultSearch search, FaultSearch.SearchResult worst) throws IOException {
        FaultSearch.SearchResult smallest = search.shrink(worst, goal);
        String text = FaultSearch.script(Files.readString(script), smallest);
        System.out.printf(
                "shrunk to %d of %d faults, service %.4f  %s%n%s",
                smallest.scenario().faults().size(),
                worst.scenario().faults().size(),
                smallest.serviceLevel(),
                smallest.reason(),
                keptScript == null ? text : "");
        if (keptScript != null) {
            Files.writeString(keptScript, text);
        }
    }
}
