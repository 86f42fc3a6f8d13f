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

/** Looks for the storm that breaks a rule, or costs most service, and shrinks it. */
public final class FaultSearch {
    /** What is looked for. */
    public enum SearchGoal {
        RULES,
        SERVICE
    }

    /**
     * One storm played.
     *
     * @param isBroken a rule was broken, an access was left without its answer, or the play itself
     *     failed
     * @param reason of that, in a line; empty where nothing broke
     */
    public record Failure(
            Scenario scenario, double serviceLevel, boolean isBroken, String reason) {}

    private final Scenario base;
    private final FaultGenerator.Ranges ranges;
    private final int threads;

    public FaultSearch(Scenario base, FaultGenerator.Ranges ranges, int threads) {
        this.base = base;
        this.ranges = ranges;
        this.threads = threads;
    }

    /** All storms, the worst first; the same for any number of threads. */
    public List<Failure> run(long firstSeed, int storms, SearchGoal quarry)
            throws InterruptedException, IOException {
        ExecutorService workers = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Failure>> plays = new ArrayList<>();
            for (int n = 0; n < storms; n++) {
                Scenario scenario = FaultGenerator.generate(base, firstSeed + n, ranges);
                plays.add(workers.submit(() -> evaluate(scenario, quarry == SearchGoal.RULES)));
            }
            List<Failure> all = new ArrayList<>();
            for (Future<Failure> play : plays) {
                all.add(play.get());
            }
            all.sort(
                    Comparator.comparing((Failure c) -> !c.isBroken())
                            .thenComparingDouble(Failure::serviceLevel)
                            .thenComparing(c -> c.scenario().name()));
            return all;
        } catch (ExecutionException failed) {
            throw new IOException("a storm could not be played", failed.getCause());
        } finally {
            workers.shutdownNow();
        }
    }

    /**
     * Plays a day and judges it. @param audited rules are looked at too, which costs a recording
     */
    public static Failure evaluate(Scenario scenario, boolean audited) {
        Path recording = null;
        try {
            recording = audited ? Files.createTempFile("milletyoke-", ".recording") : null;
            SimulationRun.SimulationResult result = SimulationRun.run(scenario, recording);
            String why =
                    result.unfinished() > 0
                            ? result.unfinished() + " without an answer"
                            : !result.isClean() ? "not left clean" : "";
            if (audited && why.isEmpty()) {
                Audit.Report report = Audit.audit(recording);
                why =
                        report.isClean()
                                ? ""
                                : report.text(false)
                                        .lines()
                                        .filter(l -> l.contains("BREACHES"))
                                        .findFirst()
                                        .orElse("a rule was broken")
                                        .strip();
            }
            return new Failure(
                    scenario, result.serviceLevels().overallServiceLevel(), !why.isEmpty(), why);
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        } catch (RuntimeException fault) {
            return new Failure(scenario, 0, true, "the play failed: " + fault);
        } finally {
            delete(recording);
        }
    }

    private static void delete(Path recording) {
        try {
            if (recording != null) {
                Files.deleteIfExists(recording);
            }
        } catch (IOException left) {
            recording.toFile().deleteOnExit();
        }
    }

    /**
     * The smallest day that still breaks, or that still costs nine tenths of what this one does.
     */
    public Failure shrink(Failure found, SearchGoal quarry) {
        double quiet =
                evaluate(
                                base.withFaults(
                                        found.scenario().name(),
                                        found.scenario().seed(),
                                        List.of()),
                                false)
                        .serviceLevel();
        double bar = quiet - 0.9 * (quiet - found.serviceLevel());
        ScenarioShrinker shrink =
                new ScenarioShrinker(
                        scenario -> {
                            Failure next = evaluate(scenario, quarry == SearchGoal.RULES);
                            return quarry == SearchGoal.RULES
                                    ? next.isBroken()
                                    : next.serviceLevel() <= bar;
                        });
        return evaluate(shrink.smallest(found.scenario()), quarry == SearchGoal.RULES);
    }

    /** The day as a script: the base's own text with these troubles in place of its own. */
    public static String script(String baseText, Failure found) {
        String kept =
                baseText.lines()
                        .filter(
                                l ->
                                        !l.strip().startsWith("at ")
                                                && !l.strip().startsWith("then ")
                                                && !l.strip().startsWith("when ")
                                                && !l.strip().startsWith("seed ")
                                                && !l.strip().startsWith("#"))
                        .collect(Collectors.joining("\n"));
        String troubles =
                found.scenario().faults().stream()
                        .map(FaultFormatter::of)
                        .collect(Collectors.joining("\n"));
        String said =
                found.isBroken()
                        ? found.reason()
                        : String.format("service %.4f in the lab", found.serviceLevel());
        return "# Found by a hunt: "
                + said
                + ".\nseed "
                + found.scenario().seed()
                + "\n"
                + kept.strip()
                + "\n"
                + troubles
                + "\n";
    }
}
