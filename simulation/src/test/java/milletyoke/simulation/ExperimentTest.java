package milletyoke.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import milletyoke.gateway.config.ConfigException;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.FaultType;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.scheduler.SchedulerTuning;
import milletyoke.simulation.experiment.Experiment;
import milletyoke.simulation.experiment.ExperimentRunner;
import milletyoke.simulation.experiment.ResultRow;
import milletyoke.simulation.experiment.ResultStore;
import milletyoke.simulation.experiment.Statistics;
import milletyoke.simulation.faults.FaultGenerator;
import milletyoke.simulation.faults.FaultSearch;
import milletyoke.simulation.faults.ScenarioShrinker;
import milletyoke.simulation.policy.SchedulerVariant;
import milletyoke.simulation.report.Report;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.standins.WorkDistribution;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that interrupted experiments resume, that statistics agree with published tables, that
 * scheduler variants apply, and that random faults are generated, searched, shrunk and saved
 * correctly.
 */
class ExperimentTest {
    private static final Path SCENARIO_FILE = Path.of("../scenario/days/hang.day").toAbsolutePath();
    private static final Path SCHEDULER_SOURCE =
            Path.of("../core/src/main/java/milletyoke/scheduler/RequestScheduler.java");

    @TempDir Path folder;

    private Experiment experiment(String arms) throws Exception {
        Path file = folder.resolve("e.json5");
        Files.writeString(
                file,
                "{name: \"e\", day: \""
                        + SCENARIO_FILE
                        + "\", source: \""
                        + SCHEDULER_SOURCE.toAbsolutePath()
                        + "\", seeds: 2, values: \"100 200\", arms: ["
                        + arms
                        + "]}");
        return Experiment.read(file);
    }

    private static final String ARMS =
            "{name: \"a\", set: \"load {x}/s; lasts 2s; calm\"},"
                    + "{name: \"b\", set: \"load {x}/s; lasts 2s; calm\", scheduler: \"at-once\"}";

    @Test
    void anInterruptedExperimentResumesAndProducesTheSameRows() throws Exception {
        Experiment experiment = experiment(ARMS);
        Path complete = folder.resolve("whole.jsonl");
        try (ResultStore results = new ResultStore(complete)) {
            assertEquals(8, new ExperimentRunner(experiment, results, 3).run(line -> {}));
        }
        Path truncated = folder.resolve("cut.jsonl");
        List<String> lines = Files.readAllLines(complete);
        Files.writeString(
                truncated,
                String.join("\n", lines.subList(0, 3)) + "\n" + lines.get(3).substring(0, 40));
        try (ResultStore results = new ResultStore(truncated)) {
            assertEquals(
                    5,
                    new ExperimentRunner(experiment, results, 1).run(line -> {}),
                    "three rows were complete, the fourth was truncated");
        }
        assertEquals(reproducibleFields(complete), reproducibleFields(truncated));
        try (ResultStore results = new ResultStore(truncated)) {
            assertEquals(
                    0,
                    new ExperimentRunner(experiment, results, 2).run(line -> {}),
                    "runs with a stored result are not repeated");
        }
    }

    /** Returns everything in the rows that must not differ between two executions. */
    private static Set<String> reproducibleFields(Path file) throws IOException {
        Set<String> fields = new HashSet<>();
        for (ResultRow row : ResultStore.read(file)) {
            fields.add(row.key() + row.service() + row.digest() + row.categories() + row.events());
        }
        return fields;
    }

    @Test
    void anInvalidResultRowIsReportedWithItsLine() throws Exception {
        Path file = folder.resolve("r.jsonl");
        Files.writeString(file, "no row\n");
        Files.writeString(file, "{}\n", StandardOpenOption.APPEND);
        assertTrue(
                assertThrows(IOException.class, () -> ResultStore.read(file))
                        .getMessage()
                        .contains("r.jsonl:1"));
    }

    @Test
    void invalidExperimentsAreReportedWithTheirFile() {
        for (String arms :
                List.of(
                        "{name: \"a\", set: \"lod 5/s\"}",
                        "{name: \"a\"}, {name: \"a\"}",
                        "{name: \"a\", scheduler: \"best\"}",
                        "{name: \"a\", set: \"at 1s explode\"}")) {
            assertTrue(
                    assertThrows(ConfigException.class, () -> experiment(arms), arms)
                            .getMessage()
                            .contains("e.json5"),
                    arms);
        }
    }

    @Test
    void theReportLoadsNoExternalResources() throws Exception {
        Experiment experiment = experiment(ARMS);
        try (ResultStore results = new ResultStore(folder.resolve("r.jsonl"))) {
            new ExperimentRunner(experiment, results, 4).run(line -> {});
            Report report = new Report("e <1>", "load", results.rows(), List.of("a", "b"));
            String page = Files.readString(report.write(folder.resolve("report")));
            assertTrue(page.contains("e &lt;1&gt;") && page.contains("<svg"));
            assertFalse(
                    page.matches("(?s).*(src|href)=\"?http.*"),
                    "the page loads no external resources");
            assertTrue(Files.size(folder.resolve("report/service.png")) > 1000);
            assertTrue(Files.readString(results.writeCsv()).lines().count() == 9);
        }
    }

    /**
     * Expected values follow from a table of Student's t: 2.776 for 4 degrees of freedom at 97.5%.
     */
    @Test
    void intervalsAndPairedTestsAgreeWithTables() {
        Statistics.Mean mean = Statistics.mean(List.of(1.0, 2.0, 3.0, 4.0, 5.0));
        assertEquals(3, mean.mean(), 1e-12);
        assertEquals(2.776 * Math.sqrt(2.5 / 5), mean.halfWidth(), 1e-3);
        Statistics.Paired paired =
                Statistics.paired(List.of(1.0, 2.0, 3.0, 4.0), List.of(1.1, 2.3, 3.2, 4.4));
        assertEquals(0.25, paired.difference().mean(), 1e-12);
        assertEquals(0.0305, paired.pValue(), 5e-4); // t = 3.873 with 3 degrees of freedom
        assertEquals(1, Statistics.paired(List.of(1.0, 2.0), List.of(1.0, 2.0)).pValue());
        assertThrows(
                IllegalArgumentException.class,
                () -> Statistics.paired(List.of(1.0), List.of(1.0)));
    }

    @Test
    void onlyAVariantWithOtherParametersChangesTheRun() throws Exception {
        Scenario scenario = ScenarioParser.read(SCENARIO_FILE);
        long defaultDigest = SimulationRun.run(scenario, null).digest();
        assertEquals(
                defaultDigest,
                SimulationRun.run(scenario, null, false, SchedulerVariant.of("MARGIN_STEPS = 1.5"))
                        .digest());
        assertNotEquals(
                defaultDigest,
                SimulationRun.run(
                                scenario,
                                null,
                                false,
                                SchedulerVariant.of("FIRST_WINDOW = 1; WINDOW_CEILING = 2"))
                        .digest());
        assertTrue(
                assertThrows(IOException.class, () -> SchedulerVariant.of("NO_SUCH = 1"))
                        .getMessage()
                        .contains("NO_SUCH"));
        assertThrows(IOException.class, () -> SchedulerVariant.of("MARGIN_STEPS = System.exit(1)"));
        assertThrows(IOException.class, () -> SchedulerVariant.of("MARGIN_STEPS = 1 / 0"));
        assertThrows(IOException.class, () -> SchedulerVariant.of("MARGIN_STEPS = 1.5.5"));
        assertThrows(IOException.class, () -> SchedulerVariant.of("MARGIN_STEPS"));
        assertThrows(IOException.class, () -> SchedulerVariant.of("BASE_BATCH = 1.5"));
        assertTrue(
                assertThrows(IOException.class, () -> SchedulerVariant.of("BASE_BATCH = 4; LOTS ="))
                        .getMessage()
                        .contains("LOTS"));
    }

    @Test
    void variantNamesCoverAllTuningParameters() throws Exception {
        assertEquals(
                SchedulerTuning.DEFAULT,
                SchedulerVariant.parse(
                        "BASE_BATCH = 4; LOTS = 64; FIRST_WINDOW = 4; WINDOW_CEILING = 16;"
                                + "MARGIN_STEPS = 1.5; LATE_PART = 1.0 / 6; SMOOTHING = 1.0 / 8;"
                                + "PATIENCE = 4; SUSPECT = 0.05; JOIN_OWED = 0.75;"
                                + "JOIN_OTHERS = 0.25; LEAST_FURTHER = 0.1; LONGEST_TRIAL = 4;"
                                + "LOOK_WAITING = 4_000; LOOK_IDLE = 40_000;"
                                + "ANSWER_AHEAD = 5_000; FIRST_ASK = 500_000;"
                                + "SLACK_USED = 0.9; COLD_QUEUE = 1.0 / 8"));
        SchedulerTuning variant =
                SchedulerVariant.parse(
                        "BASE_BATCH = 1; LOTS = 2; FIRST_WINDOW = 3; WINDOW_CEILING = 4;"
                                + "MARGIN_STEPS = 5; LATE_PART = 6; SMOOTHING = 7; PATIENCE = 8;"
                                + "SUSPECT = 9; JOIN_OWED = 10; JOIN_OTHERS = 11;"
                                + "LEAST_FURTHER = 12; LONGEST_TRIAL = 13; LOOK_WAITING = 14;"
                                + "LOOK_IDLE = 15; ANSWER_AHEAD = 16; FIRST_ASK = 17;"
                                + "SLACK_USED = 18; COLD_QUEUE = 19");
        assertEquals(
                new SchedulerTuning(
                        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19),
                variant);
    }

    @Test
    void shrinkingKeepsOnlyTheFaultThatCausesTheFailure() throws Exception {
        Scenario base = ScenarioParser.read(SCENARIO_FILE);
        Scenario scenario = null;
        for (long seed = 1;
                scenario == null;
                seed++) { // find a scenario with a kill among other faults
            Scenario generated =
                    FaultGenerator.generate(base, seed, FaultGenerator.Ranges.defaults(8));
            scenario =
                    generated.faults().size() > 4
                                    && generated.faults().stream()
                                            .anyMatch(fault -> fault.type() == FaultType.KILL)
                            ? generated
                            : null;
        }
        List<Integer> faultCounts = new ArrayList<>();
        Scenario shrunk =
                new ScenarioShrinker(
                                candidate -> {
                                    faultCounts.add(candidate.faults().size());
                                    return candidate.faults().stream()
                                            .anyMatch(fault -> fault.type() == FaultType.KILL);
                                })
                        .shrink(scenario);
        assertEquals(1, shrunk.faults().size());
        assertEquals(FaultType.KILL, shrunk.faults().get(0).type());
        assertTrue(faultCounts.size() < 100);
    }

    @Test
    void generatedFaultsStayWithinTheirRanges() throws Exception {
        FaultGenerator.Ranges ranges =
                new FaultGenerator.Ranges(
                        List.of(FaultType.HANG, FaultType.SLOW), 3, 0.2, 0.4, 0.25);
        for (long seed = 0; seed < 200; seed++) {
            for (var fault :
                    FaultGenerator.generate(ScenarioParser.read(SCENARIO_FILE), seed, ranges)
                            .faults()) {
                assertTrue(
                        ranges.faultTypes().contains(fault.type())
                                && fault.selection().part() >= 0.2
                                && fault.selection().part() <= 0.4
                                && fault.durationMicros()
                                        <= 500_000
                                                + ScenarioParser.read(SCENARIO_FILE)
                                                                .durationMicros()
                                                        / 4,
                        "" + fault);
            }
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new FaultGenerator.Ranges(List.of(FaultType.LIMIT), 3, 0.2, 0.4, 0.25));
    }

    /**
     * The mean factor must be 1, so that the capacity of the targets does not depend on the
     * distribution. The distributions are listed by increasing variance.
     */
    @Test
    void workDistributionsHaveMeanOneAndOrderedVariance() {
        double lastVariance = 0;
        for (String distribution : List.of("even", "gamma:4", "exponential", "lognormal:1.2")) {
            WorkDistribution work = WorkDistribution.of(distribution);
            double total = 0;
            double totalOfSquares = 0;
            int sampleCount = 200_000;
            for (int i = 0; i < sampleCount; i++) {
                double factor = work.factor((i + 0.5) / sampleCount);
                total += factor;
                totalOfSquares += factor * factor;
            }
            double variance =
                    totalOfSquares / sampleCount - total / sampleCount * (total / sampleCount);
            assertEquals(1, total / sampleCount, 0.01, distribution);
            assertTrue(
                    variance > lastVariance,
                    distribution
                            + " has variance "
                            + variance
                            + ", the one before "
                            + lastVariance);
            lastVariance = variance;
        }
        for (String invalid : List.of("", "odd", "gamma", "gamma:0", "lognormal:x", "even:2")) {
            assertThrows(
                    IllegalArgumentException.class, () -> WorkDistribution.of(invalid), invalid);
        }
    }

    /** A generated scenario that is saved as a script and read again runs identically. */
    @Test
    void generatedScenariosSavedAsScriptsRunIdentically() throws Exception {
        Scenario base = ScenarioParser.read(SCENARIO_FILE);
        String baseScript = Files.readString(SCENARIO_FILE);
        Set<FaultType> generatedTypes = new HashSet<>();
        for (long seed = 1; seed <= 40; seed++) {
            Scenario scenario =
                    FaultGenerator.generate(base, seed, FaultGenerator.Ranges.defaults(6));
            scenario.faults().forEach(fault -> generatedTypes.add(fault.type()));
            String script =
                    FaultSearch.script(
                            baseScript, new FaultSearch.SearchResult(scenario, 0.5, false, ""));
            Scenario reread = ScenarioParser.read("found.day", scenario.name(), script);
            assertEquals(scenario.faults().size(), reread.faults().size(), script);
            if (seed <= 4) {
                assertEquals(
                        SimulationRun.run(scenario, null).digest(),
                        SimulationRun.run(reread, null).digest(),
                        script);
            }
        }
        assertTrue(
                generatedTypes.size() > 15,
                "expected more than 15 types of faults, got " + generatedTypes);
    }

    @Test
    void aSearchFindsTheSameOnAnyNumberOfThreads() throws Exception {
        FaultSearch singleThreaded =
                new FaultSearch(
                        ScenarioParser.read(SCENARIO_FILE), FaultGenerator.Ranges.defaults(3), 1);
        FaultSearch multiThreaded =
                new FaultSearch(
                        ScenarioParser.read(SCENARIO_FILE), FaultGenerator.Ranges.defaults(3), 4);
        List<FaultSearch.SearchResult> singleThreadedResults =
                singleThreaded.run(100, 6, FaultSearch.SearchGoal.RULES);
        assertEquals(
                singleThreadedResults.stream()
                        .map(result -> result.scenario().name() + result.serviceLevel())
                        .toList(),
                multiThreaded.run(100, 6, FaultSearch.SearchGoal.RULES).stream()
                        .map(result -> result.scenario().name() + result.serviceLevel())
                        .toList());
        assertTrue(
                singleThreadedResults.stream().noneMatch(FaultSearch.SearchResult::isBroken),
                () -> "a generated scenario broke a rule: " + singleThreadedResults);
    }

    @Test
    void allScenariosAndExperimentsOfTheModuleCanBeRead() throws Exception {
        for (String directory : List.of("days", "scale", "experiments")) {
            try (Stream<Path> files = Files.list(Path.of(directory))) {
                for (Path file : files.toList()) {
                    if (file.toString().endsWith(".day")) {
                        ScenarioParser.read(file);
                    } else {
                        Experiment.read(file);
                    }
                }
            }
        }
    }
}
