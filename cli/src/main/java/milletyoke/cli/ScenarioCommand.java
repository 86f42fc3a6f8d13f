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
                "Runs scenarios on loopback sockets and audits the recordings;"
                        + " exits with 0 only if every rule was kept and every request was answered.")
final class ScenarioCommand implements Callable<Integer> {
    private static final long VIEWER_POLL_MILLIS = 200;
    private static final double MICROS_PER_MILLI = 1e3;

    @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scenario scripts.")
    private List<Path> scripts;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Keep the recording in this file (one script only).")
    private Path recordingFile;

    @Option(
            names = "--straight",
            description =
                    "Afterwards run the same load directly on the targets, without initiators,"
                            + " and compare.")
    private boolean isComparedWithDirect;

    @Option(
            names = "--viewers",
            paramLabel = "N",
            description =
                    "Number of viewers that poll the first initiator's console, and of viewers that keep a"
                            + " stream open; the scenario first runs without viewers, for comparison.")
    private int viewers;

    @Option(
            names = "--capture",
            paramLabel = "FOLDER",
            description =
                    "Capture each initiator's requests in this folder, for replay (one script only).")
    private Path captureFolder;

    @Option(names = "--quiet", description = "Omit the progress line printed every second.")
    private boolean isQuiet;

    @Override
    public Integer call() throws IOException, InterruptedException, ScenarioFormatException {
        if (captureFolder != null && (scripts.size() > 1 || viewers > 0)) {
            throw new IllegalArgumentException(
                    "--capture takes a single script and excludes --viewers");
        }
        if (recordingFile != null && scripts.size() > 1) {
            throw new IllegalArgumentException(
                    "--record takes a single script, not " + scripts.size());
        }
        boolean allPassed = true;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            allPassed &= runAndAudit(scenario);
        }
        return allPassed ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** Returns whether the audit passed, the shutdown was clean and every request was answered. */
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
                    "%d records, %.0f us of CPU per request, all components in one process%n",
                    report.records(), result.cpuMicrosPerRequest());
            if (isComparedWithDirect) {
                compareWithDirect(scenario, result);
            }
            boolean hasPassed =
                    report.isClean() && result.isShutdownClean() && result.unfinished() == 0;
            System.out.println(hasPassed ? "kept" : "NOT KEPT");
            return hasPassed;
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
        System.out.println("-- the same load sent directly to the targets, without scheduling");
        System.out.print(direct.serviceLevels().text());
        System.out.printf(
                "added by the initiators: p50 %+.2f ms, CPU %+.0f us per request, service %+.3f%n",
                (medianMicros(scheduled) - medianMicros(direct)) / MICROS_PER_MILLI,
                scheduled.cpuMicrosPerRequest() - direct.cpuMicrosPerRequest(),
                scheduled.serviceLevels().overallServiceLevel()
                        - direct.serviceLevels().overallServiceLevel());
    }

    private static long medianMicros(ScenarioResult result) {
        return result.serviceLevels().latencies().getValueAtPercentile(50);
    }
}
