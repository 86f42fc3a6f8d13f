package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import milletyoke.gateway.console.Tokens;
import milletyoke.scenario.ConsoleViewers;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.ScenarioRunner.ScenarioResult;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code scenario}: runs scenarios on loopback sockets and audits the recordings. */
@Command(
        name = "scenario",
        aliases = "rehearse",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios on loopback sockets, then audits the rules; 0 only if every rule was kept.")
final class ScenarioCommand implements Callable<Integer> {
    private static final long VIEWER_POLL_MILLIS = 200;
    private static final double MICROS_PER_MILLI = 1e3;

    @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scenario scripts.")
    private List<Path> scripts;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Keep the recording here (one script only).")
    private Path recordingFile;

    @Option(
            names = "--straight",
            description =
                    "Afterwards run the same load directly to the targets, without initiators,"
                            + " and compare.")
    private boolean isComparedWithDirect;

    @Option(
            names = "--viewers",
            paramLabel = "N",
            description =
                    "So many viewers poll the first initiator's console and as many keep a"
                            + " stream; the same scenario is run without them for comparison.")
    private int viewers;

    @Option(
            names = "--capture",
            paramLabel = "FOLDER",
            description = "Capture each initiator's requests there, for replay (one script only).")
    private Path captureFolder;

    @Option(names = "--quiet", description = "No line every second.")
    private boolean isQuiet;

    @Override
    public Integer call() throws IOException, InterruptedException, ScenarioFormatException {
        if (captureFolder != null && (scripts.size() > 1 || viewers > 0)) {
            throw new IllegalArgumentException("--capture takes one script, without --viewers");
        }
        if (recordingFile != null && scripts.size() > 1) {
            throw new IllegalArgumentException("--record takes one script, not " + scripts.size());
        }
        boolean isClean = true;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            isClean &= runAndAudit(scenario);
        }
        return isClean ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** Returns whether every rule was kept and every request was answered. */
    private boolean runAndAudit(Scenario scenario) throws IOException, InterruptedException {
        System.out.println("== " + scenario.name());
        Path recording = recordingFile != null ? recordingFile : newTemporaryRecording();
        try {
            ScenarioResult result =
                    viewers > 0 ? runWithViewers(scenario, recording) : run(scenario, recording);
            System.out.print(result.serviceLevels().text());
            result.initiatorCounters().forEach(line -> System.out.println("  " + line));
            Audit.Report report = Audit.audit(recording);
            System.out.print(report.text(true));
            System.out.printf(
                    "%d records, %.0f us of CPU for each access, all parts in one process%n",
                    report.records(), result.cpuMicrosPerRequest());
            if (isComparedWithDirect) {
                compareWithDirect(scenario, result);
            }
            boolean isKept =
                    report.isClean() && result.isShutdownClean() && result.unfinished() == 0;
            System.out.println(isKept ? "kept" : "NOT KEPT");
            return isKept;
        } finally {
            if (recordingFile == null) {
                Files.deleteIfExists(recording);
            }
        }
    }

    private static Path newTemporaryRecording() throws IOException {
        return Files.createTempFile("milletyoke-", ".recording");
    }

    private ScenarioResult run(Scenario scenario, Path recording)
            throws IOException, InterruptedException {
        Consumer<String> progress = isQuiet ? line -> {} : System.out::println;
        try (ScenarioRunner runner = new ScenarioRunner(scenario, recording, false)) {
            if (captureFolder != null) {
                runner.capture(captureFolder);
            }
            return runner.run(progress);
        }
    }

    private ScenarioResult runWithViewers(Scenario scenario, Path recording)
            throws IOException, InterruptedException {
        ScenarioResult unwatched = run(scenario, recording);
        String token = Tokens.make();
        Path tokenFile = writeTokenFile(token);
        try (ScenarioRunner runner = new ScenarioRunner(scenario, recording, false, tokenFile);
                ConsoleViewers consoleViewers =
                        new ConsoleViewers(
                                runner.initiator(0).consolePort(),
                                token,
                                viewers,
                                VIEWER_POLL_MILLIS)) {
            ScenarioResult watched =
                    runner.run(
                            serviceLevels -> {},
                            () -> {
                                System.out.println("console: " + consoleViewers.text());
                                consoleViewers.stop();
                            });
            printViewerComparison(watched, unwatched);
            return watched;
        } finally {
            Files.delete(tokenFile);
        }
    }

    private static Path writeTokenFile(String token) throws IOException {
        Path file = Files.createTempFile("milletyoke-", ".json5");
        String hash = HexFormat.of().formatHex(Tokens.hash(token));
        return Files.writeString(
                file, "{tokens: [{name: \"viewer\", role: \"viewer\", sha256: \"" + hash + "\"}]}");
    }

    private void printViewerComparison(ScenarioResult watched, ScenarioResult unwatched) {
        double watchedLevel = watched.serviceLevels().overallServiceLevel();
        double unwatchedLevel = unwatched.serviceLevels().overallServiceLevel();
        System.out.printf(
                "service with %d viewers and %d streams %.3f, without %.3f, ratio %.3f%n",
                viewers, viewers, watchedLevel, unwatchedLevel, watchedLevel / unwatchedLevel);
    }

    private static void compareWithDirect(Scenario scenario, ScenarioResult scheduled)
            throws IOException, InterruptedException {
        ScenarioResult direct;
        Path recording = newTemporaryRecording();
        try (ScenarioRunner runner = new ScenarioRunner(scenario, recording, true)) {
            direct = runner.run(line -> {});
        } finally {
            Files.deleteIfExists(recording);
        }
        System.out.println("-- the same load straight to the targets, no scheduling");
        System.out.print(direct.serviceLevels().text());
        System.out.printf(
                "through the initiators: p50 %+.2f ms, CPU %+.0f us for each access, service %+.3f%n",
                (medianMicros(scheduled) - medianMicros(direct)) / MICROS_PER_MILLI,
                scheduled.cpuMicrosPerRequest() - direct.cpuMicrosPerRequest(),
                scheduled.serviceLevels().overallServiceLevel()
                        - direct.serviceLevels().overallServiceLevel());
    }

    private static long medianMicros(ScenarioResult result) {
        return result.serviceLevels().latencies().getValueAtPercentile(50);
    }
}
