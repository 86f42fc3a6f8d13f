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

/** Experiments that go on after a kill, figures against worked examples, storms that shrink. */
class ExperimentTest {
    private static final Path DAY = Path.of("../scenario/days/hang.day").toAbsolutePath();
    private static final Path DECIDE =
            Path.of("../core/src/main/java/milletyoke/scheduler/RequestScheduler.java");

    @TempDir Path folder;

    private Experiment experiment(String arms) throws Exception {
        Path file = folder.resolve("e.json5");
        Files.writeString(
                file,
                "{name: \"e\", day: \""
                        + DAY
                        + "\", source: \""
                        + DECIDE.toAbsolutePath()
                        + "\", seeds: 2, values: \"100 200\", arms: ["
                        + arms
                        + "]}");
        return Experiment.read(file);
    }

    private static final String ARMS =
            "{name: \"a\", set: \"load {x}/s; lasts 2s; calm\"},"
                    + "{name: \"b\", set: \"load {x}/s; lasts 2s; calm\", scheduler: \"at-once\"}";

    @Test
    void aKilledRunGoesOnAndEndsWithTheSameRows() throws Exception {
        Experiment e = experiment(ARMS);
        Path whole = folder.resolve("whole.jsonl");
        try (ResultStore results = new ResultStore(whole)) {
            assertEquals(8, new ExperimentRunner(e, results, 3).run(line -> {}));
        }
        Path cut = folder.resolve("cut.jsonl");
        List<String> lines = Files.readAllLines(whole);
        Files.writeString(
                cut, String.join("\n", lines.subList(0, 3)) + "\n" + lines.get(3).substring(0, 40));
        try (ResultStore results = new ResultStore(cut)) {
            assertEquals(
                    5,
                    new ExperimentRunner(e, results, 1).run(line -> {}),
                    "three were whole, the fourth was cut off");
        }
        assertEquals(facts(whole), facts(cut));
        try (ResultStore results = new ResultStore(cut)) {
            assertEquals(
                    0,
                    new ExperimentRunner(e, results, 2).run(line -> {}),
                    "nothing is played twice");
        }
    }

    /** All but how long it took. */
    private static Set<String> facts(Path file) throws IOException {
        Set<String> all = new HashSet<>();
        for (ResultRow r : ResultStore.read(file)) {
            all.add(r.key() + r.service() + r.digest() + r.categories() + r.events());
        }
        return all;
    }

    @Test
    void aDamagedLineIsNamed() throws Exception {
        Path file = folder.resolve("r.jsonl");
        Files.writeString(file, "no row\n");
        Files.writeString(file, "{}\n", StandardOpenOption.APPEND);
        assertTrue(
                assertThrows(IOException.class, () -> ResultStore.read(file))
                        .getMessage()
                        .contains("r.jsonl:1"));
    }

    @Test
    void wrongExperimentsAreToldWithTheirLine() {
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
    void theReportStandsByItself() throws Exception {
        Experiment e = experiment(ARMS);
        try (ResultStore results = new ResultStore(folder.resolve("r.jsonl"))) {
            new ExperimentRunner(e, results, 4).run(line -> {});
            Report report = new Report("e <1>", "load", results.rows(), List.of("a", "b"));
            String page = Files.readString(report.write(folder.resolve("report")));
            assertTrue(page.contains("e &lt;1&gt;") && page.contains("<svg"));
            assertFalse(page.matches("(?s).*(src|href)=\"?http.*"), "it loads nothing");
            assertTrue(Files.size(folder.resolve("report/service.png")) > 1000);
            assertTrue(Files.readString(results.writeCsv()).lines().count() == 9);
        }
    }

    /** Figures worked by hand from Student's table: t of 4 degrees at 97.5% is 2.776. */
    @Test
    void intervalsAndPairsAgreeWithTheTables() {
        Statistics.Mean mean = Statistics.mean(List.of(1.0, 2.0, 3.0, 4.0, 5.0));
        assertEquals(3, mean.mean(), 1e-12);
        assertEquals(2.776 * Math.sqrt(2.5 / 5), mean.halfWidth(), 1e-3);
        Statistics.Paired p =
                Statistics.paired(List.of(1.0, 2.0, 3.0, 4.0), List.of(1.1, 2.3, 3.2, 4.4));
        assertEquals(0.25, p.difference().mean(), 1e-12);
        assertEquals(0.0305, p.pValue(), 5e-4); // t = 3.873 with 3 degrees
        assertEquals(1, Statistics.paired(List.of(1.0, 2.0), List.of(1.0, 2.0)).pValue());
        assertThrows(
                IllegalArgumentException.class,
                () -> Statistics.paired(List.of(1.0), List.of(1.0)));
    }

    @Test
    void aVariantWithTheSameFiguresPlaysTheSameAndAnotherDoesNot() throws Exception {
        Scenario scenario = ScenarioParser.read(DAY);
        long own = SimulationRun.run(scenario, null).digest();
        assertEquals(
                own,
                SimulationRun.run(scenario, null, false, SchedulerVariant.of("MARGIN_STEPS = 1.5"))
                        .digest());
        assertNotEquals(
                own,
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
    void theNamesOfExperimentFilesSpellAllDefaultFigures() throws Exception {
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
        SchedulerTuning other =
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
                other);
    }

    @Test
    void aStormShrinksToWhatMakesItBad() throws Exception {
        Scenario base = ScenarioParser.read(DAY);
        Scenario scenario = null;
        for (long seed = 1; scenario == null; seed++) { // one with a kill among others
            Scenario drawn = FaultGenerator.generate(base, seed, FaultGenerator.Ranges.defaults(8));
            scenario =
                    drawn.faults().size() > 4
                                    && drawn.faults().stream()
                                            .anyMatch(fault -> fault.type() == FaultType.KILL)
                            ? drawn
                            : null;
        }
        List<Integer> seen = new ArrayList<>();
        Scenario small =
                new ScenarioShrinker(
                                d -> {
                                    seen.add(d.faults().size());
                                    return d.faults().stream()
                                            .anyMatch(fault -> fault.type() == FaultType.KILL);
                                })
                        .shrink(scenario);
        assertEquals(1, small.faults().size());
        assertEquals(FaultType.KILL, small.faults().get(0).type());
        assertTrue(seen.size() < 100);
    }

    @Test
    void stormsStayWithinTheirRanges() throws Exception {
        FaultGenerator.Ranges in =
                new FaultGenerator.Ranges(
                        List.of(FaultType.HANG, FaultType.SLOW), 3, 0.2, 0.4, 0.25);
        for (long seed = 0; seed < 200; seed++) {
            for (var fault : FaultGenerator.generate(ScenarioParser.read(DAY), seed, in).faults()) {
                assertTrue(
                        in.faultTypes().contains(fault.type())
                                && fault.selection().part() >= 0.2
                                && fault.selection().part() <= 0.4
                                && fault.durationMicros()
                                        <= 500_000 + ScenarioParser.read(DAY).durationMicros() / 4,
                        "" + fault);
            }
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new FaultGenerator.Ranges(List.of(FaultType.LIMIT), 3, 0.2, 0.4, 0.25));
    }

    /**
     * Means of one, so that a fleet does as much whatever the spread; spreads in the order that
     * their names promise.
     */
    @Test
    void workVariesRoundItsMean() {
        double last = 0;
        for (String text : List.of("even", "gamma:4", "exponential", "lognormal:1.2")) {
            WorkDistribution work = WorkDistribution.of(text);
            double sum = 0;
            double squares = 0;
            int n = 200_000;
            for (int i = 0; i < n; i++) {
                double f = work.factor((i + 0.5) / n);
                sum += f;
                squares += f * f;
            }
            double spread = squares / n - sum / n * (sum / n);
            assertEquals(1, sum / n, 0.01, text);
            assertTrue(spread > last, text + " spreads " + spread + ", the one before " + last);
            last = spread;
        }
        for (String bad : List.of("", "odd", "gamma", "gamma:0", "lognormal:x", "even:2")) {
            assertThrows(IllegalArgumentException.class, () -> WorkDistribution.of(bad), bad);
        }
    }

    /**
     * What was found is the same day when it is read again: by its text and by all that travels.
     */
    @Test
    void stormsAreKeptAsScriptsAndPlayTheSame() throws Exception {
        Scenario base = ScenarioParser.read(DAY);
        String text = Files.readString(DAY);
        Set<FaultType> met = new HashSet<>();
        for (long seed = 1; seed <= 40; seed++) {
            Scenario scenario =
                    FaultGenerator.generate(base, seed, FaultGenerator.Ranges.defaults(6));
            scenario.faults().forEach(fault -> met.add(fault.type()));
            String script =
                    FaultSearch.script(text, new FaultSearch.Failure(scenario, 0.5, false, ""));
            Scenario again = ScenarioParser.read("found.day", scenario.name(), script);
            assertEquals(scenario.faults().size(), again.faults().size(), script);
            if (seed <= 4) {
                assertEquals(
                        SimulationRun.run(scenario, null).digest(),
                        SimulationRun.run(again, null).digest(),
                        script);
            }
        }
        assertTrue(met.size() > 15, "hardly any sort of trouble was drawn: " + met);
    }

    @Test
    void aHuntFindsTheSameOnAnyNumberOfThreads() throws Exception {
        FaultSearch one =
                new FaultSearch(ScenarioParser.read(DAY), FaultGenerator.Ranges.defaults(3), 1);
        FaultSearch four =
                new FaultSearch(ScenarioParser.read(DAY), FaultGenerator.Ranges.defaults(3), 4);
        List<FaultSearch.Failure> first = one.run(100, 6, FaultSearch.SearchGoal.RULES);
        assertEquals(
                first.stream().map(c -> c.scenario().name() + c.serviceLevel()).toList(),
                four.run(100, 6, FaultSearch.SearchGoal.RULES).stream()
                        .map(c -> c.scenario().name() + c.serviceLevel())
                        .toList());
        assertTrue(
                first.stream().noneMatch(FaultSearch.Failure::isBroken),
                () -> "a storm broke a rule: " + first);
    }

    @Test
    void everyDayThatStandsHereCanBeRead() throws Exception {
        for (String place : List.of("days", "scale", "experiments")) {
            try (Stream<Path> files = Files.list(Path.of(place))) {
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
