package milletyoke.cli.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.simulation.run.SimulationRun.SimulationResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code simulate play}: runs scenarios in virtual time. */
@Command(
        name = "play",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios in virtual time and audits the recordings;"
                        + " exits with 0 only if every rule was kept and every request was answered.")
final class PlayCommand implements Callable<Integer> {
    private static final double MICROS_PER_SECOND = 1e6;

    @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scenario scripts.")
    private List<Path> scripts;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Keep the recording in this file (one script only).")
    private Path recordingFile;

    @Option(names = "--bare", description = "Record and audit nothing; for very large fleets.")
    private boolean isUnaudited;

    @Option(names = "--brief", description = "Print one line per script.")
    private boolean isBrief;

    @Override
    public Integer call() throws IOException, ScenarioFormatException {
        if (recordingFile != null && (scripts.size() > 1 || isUnaudited)) {
            throw new IllegalArgumentException(
                    "--record takes a single script and excludes --bare");
        }
        boolean allPassed = true;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            allPassed &= isUnaudited ? runUnaudited(scenario) : runAndAudit(scenario);
        }
        return allPassed ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private boolean runUnaudited(Scenario scenario) throws IOException {
        SimulationResult result = SimulationRun.run(scenario, null);
        printSummary(scenario, result, "not audited");
        printServiceLevels(result);
        return hasFinished(result);
    }

    private boolean runAndAudit(Scenario scenario) throws IOException {
        Path recording =
                recordingFile != null
                        ? recordingFile
                        : Files.createTempFile("milletyoke-", ".recording");
        try {
            SimulationResult result = SimulationRun.run(scenario, recording);
            Audit.Report report = Audit.audit(recording);
            boolean hasPassed = hasFinished(result) && report.isClean();
            printSummary(scenario, result, hasPassed ? "kept" : "NOT KEPT");
            printServiceLevels(result);
            if (!isBrief || !hasPassed) {
                System.out.print(report.text(true));
            }
            return hasPassed;
        } finally {
            if (recordingFile == null) {
                Files.deleteIfExists(recording);
            }
        }
    }

    private static boolean hasFinished(SimulationResult result) {
        return result.isClean() && result.unfinished() == 0;
    }

    private static void printSummary(Scenario scenario, SimulationResult result, String verdict) {
        System.out.printf(
                "%-32s service %.4f  digest %016x  %,d events in %.2f s, %,.0f a second  %s%n",
                scenario.name(),
                result.serviceLevels().overallServiceLevel(),
                result.digest(),
                result.eventCount(),
                result.elapsedMicros() / MICROS_PER_SECOND,
                result.eventCount() * MICROS_PER_SECOND / result.elapsedMicros(),
                verdict);
    }

    private void printServiceLevels(SimulationResult result) {
        if (!isBrief) {
            System.out.print(result.serviceLevels().text());
        }
    }
}
