package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.gateway.console.Tokens;
import milletyoke.scenario.ConsoleViewers;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description =
                "Plays bad days on loopback sockets, then audits the rules; 0 only if every rule was kept.")
final class ScenarioCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scripts of bad days.")
    private List<Path> scripts;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Keep the recording here (one script only).")
    private Path keep;

    @Option(
            names = "--straight",
            description =
                    "Afterwards play the same load straight to the targets, with nothing"
                            + " between, and compare.")
    private boolean straight;

    @Option(
            names = "--viewers",
            paramLabel = "N",
            description =
                    "So many poll the first initiator's console, as many keep a"
                            + " stream; the same day is played without them for comparison.")
    private int viewers;

    @Option(
            names = "--capture",
            paramLabel = "FOLDER",
            description = "Keep each initiator's traffic there, for replay (one" + " script only).")
    private Path capture;

    @Option(names = "--quiet", description = "No line every second.")
    private boolean quiet;

    @Override
    public Integer call() throws Exception {
        if (capture != null && (scripts.size() > 1 || viewers > 0)) {
            throw new IllegalArgumentException("--capture takes one script, without --viewers");
        }
        if (keep != null && scripts.size() > 1) {
            throw new IllegalArgumentException("--record takes one script, not " + scripts.size());
        }
        boolean clean = true;
        for (Scenario day : ScenarioParser.readAll(scripts)) {
            clean &= play(day);
        }
        return clean ? 0 : 1;
    }

    private boolean play(Scenario day) throws IOException, InterruptedException {
        System.out.println("== " + day.name());
        Path recording = keep != null ? keep : Files.createTempFile("milletyoke-", ".recording");
        try {
            ScenarioRunner.ScenarioResult played =
                    viewers > 0 ? watched(day, recording) : bare(day, recording);
            System.out.print(played.serviceLevels().text());
            played.initiatorCounters().forEach(c -> System.out.println("  " + c));
            Audit.Report report = Audit.audit(recording);
            System.out.print(report.text(true));
            System.out.printf(
                    "%d records, %.0f us of CPU for each access, all parts in one process%n",
                    report.records(), played.cpuMicrosPerRequest());
            if (straight) {
                compare(day, played);
            }
            boolean kept = report.isClean() && played.isShutdownClean() && played.unfinished() == 0;
            System.out.println(kept ? "kept" : "NOT KEPT");
            return kept;
        } finally {
            if (keep == null) {
                Files.deleteIfExists(recording);
            }
        }
    }

    private ScenarioRunner.ScenarioResult bare(Scenario day, Path recording)
            throws IOException, InterruptedException {
        try (ScenarioRunner stage = new ScenarioRunner(day, recording, false)) {
            if (capture != null) {
                stage.capture(capture);
            }
            return stage.run(quiet ? line -> {} : System.out::println);
        }
    }

    private ScenarioRunner.ScenarioResult watched(Scenario day, Path recording)
            throws IOException, InterruptedException {
        ScenarioRunner.ScenarioResult alone = bare(day, recording);
        String token = Tokens.make();
        Path tokens = Files.createTempFile("milletyoke-", ".json5");
        Files.writeString(
                tokens,
                "{tokens: [{name: \"viewer\", role: \"viewer\", sha256: \""
                        + HexFormat.of().formatHex(Tokens.hash(token))
                        + "\"}]}");
        try (ScenarioRunner stage = new ScenarioRunner(day, recording, false, tokens);
                ConsoleViewers onlookers =
                        new ConsoleViewers(stage.initiator(0).consolePort(), token, viewers, 200)) {
            ScenarioRunner.ScenarioResult played =
                    stage.run(
                            service -> {},
                            () -> {
                                System.out.println("console: " + onlookers.text());
                                onlookers.close();
                            });
            System.out.printf(
                    "service with %d viewers and %d streams %.3f, without %.3f, ratio %.3f%n",
                    viewers,
                    viewers,
                    played.serviceLevels().overallServiceLevel(),
                    alone.serviceLevels().overallServiceLevel(),
                    played.serviceLevels().overallServiceLevel()
                            / alone.serviceLevels().overallServiceLevel());
            return played;
        } finally {
            Files.delete(tokens);
        }
    }

    private void compare(Scenario day, ScenarioRunner.ScenarioResult through)
            throws IOException, InterruptedException {
        ScenarioRunner.ScenarioResult bare;
        Path recording = Files.createTempFile("milletyoke-", ".recording");
        try (ScenarioRunner stage = new ScenarioRunner(day, recording, true)) {
            bare = stage.run(line -> {});
        } finally {
            Files.deleteIfExists(recording);
        }
        System.out.println("-- the same load straight to the targets, no scheduling");
        System.out.print(bare.serviceLevels().text());
        System.out.printf(
                "through the initiators: p50 %+.2f ms, CPU %+.0f us for each access, service %+.3f%n",
                (through.serviceLevels().latencies().getValueAtPercentile(50)
                                - bare.serviceLevels().latencies().getValueAtPercentile(50))
                        / 1e3,
                through.cpuMicrosPerRequest() - bare.cpuMicrosPerRequest(),
                through.serviceLevels().overallServiceLevel()
                        - bare.serviceLevels().overallServiceLevel());
    }
}
