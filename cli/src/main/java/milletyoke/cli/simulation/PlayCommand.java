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

/** The command {@code simulate play}. */
@Command(
        name = "play",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios in virtual time, then audits the rules; 0 only if every rule was kept.")
final class PlayCommand implements Callable<Integer> {
    private static final double MICROS_PER_SECOND = 1e6;

    @Parameters(arity = "1..*", paramLabel = "SCRIPT", description = "Scenario scripts.")
    private List<Path> scripts;

    @Option(
            names = "--record",
            paramLabel = "FILE",
            description = "Keep the recording here (one script only).")
    private Path recordingFile;

    @Option(
            names = "--bare",
            description = "Record nothing and audit nothing: for very large fleets.")
    private boolean isUnaudited;

    @Option(names = "--brief", description = "One line a script.")
    private boolean isBrief;

    @Override
    public Integer call() throws IOException, ScenarioFormatException {
        if (recordingFile != null && (scripts.size() > 1 || isUnaudited)) {
            throw new IllegalArgumentException("--record takes one script, without --bare");
        }
        boolean isClean = true;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            isClean &= isUnaudited ? playUnaudited(scenario) : playAudited(scenario);
        }
        return isClean ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    private boolean playUnaudited(Scenario scenario) throws IOException {
        SimulationResult result = SimulationRun.run(scenario, null);
        printSummary(scenario, result, "not audited");
        printServiceLevels(result);
        return hasFinished(result);
    }

    private boolean playAudited(Scenario scenario) throws IOException {
        Path recording =
                recordingFile != null
                        ? recordingFile
                        : Files.createTempFile("milletyoke-", ".recording");
        try {
            SimulationResult result = SimulationRun.run(scenario, recording);
            Audit.Report report = Audit.audit(recording);
            boolean isKept = hasFinished(result) && report.isClean();
            printSummary(scenario, result, isKept ? "kept" : "NOT KEPT");
            printServiceLevels(result);
            if (!isBrief || !isKept) {
                System.out.print(report.text(true));
            }
            return isKept;
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
