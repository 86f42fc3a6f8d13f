package milletyoke.cli.simulation;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import milletyoke.simulation.run.SimulationRun;
import milletyoke.standins.ServiceLevelRecorder;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code simulate compare-sockets}: compares simulated with real sockets. */
@Command(
        name = "compare-sockets",
        aliases = "beside",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios on sockets and in virtual time and compares the service level of each"
                        + " request class; exits with 1 if a class differs by more than allowed.")
final class CompareSocketsCommand implements Callable<Integer> {
    private static final double PERCENT = 100;

    @Parameters(
            arity = "1..*",
            paramLabel = "SCRIPT",
            description = "Scenario scripts that sockets can run.")
    private List<Path> scripts;

    @Option(
            names = "--turns",
            paramLabel = "N",
            description =
                    "Number of simulated runs of each scenario, which differ in the latencies of"
                            + " frames (${DEFAULT-VALUE}).")
    private int simulatedRuns = 5;

    @Option(
            names = "--allowed",
            paramLabel = "POINTS",
            description =
                    "Allowed difference of a request class, in percentage points (${DEFAULT-VALUE}).")
    private double allowedPoints = 5;

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%-32s %-16s %8s %22s %8s%n",
                "day", "category", "sockets", "simulated, mean, range", "apart");
        int differingClasses = 0;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            differingClasses += compare(scenario);
        }
        System.out.printf(
                "%d request classes differ by more than %.1f percentage points%n",
                differingClasses, allowedPoints);
        return differingClasses == 0 ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** Returns how many request classes differ by more than allowed. */
    private int compare(Scenario scenario) throws IOException, InterruptedException {
        ServiceLevelRecorder sockets = runOnSockets(scenario);
        List<ServiceLevelRecorder> simulated = simulate(scenario);
        int differingClasses = 0;
        for (String requestClass : sockets.requestClasses().keySet()) {
            double measured = percent(sockets, requestClass);
            DoubleSummaryStatistics predicted =
                    simulated.stream()
                            .mapToDouble(run -> percent(run, requestClass))
                            .summaryStatistics();
            double difference = predicted.getAverage() - measured;
            differingClasses += Math.abs(difference) > allowedPoints ? 1 : 0;
            System.out.printf(
                    "%-32s %-16s %8.1f %8.1f (%5.1f..%5.1f) %8.1f%n",
                    scenario.name(),
                    requestClass,
                    measured,
                    predicted.getAverage(),
                    predicted.getMin(),
                    predicted.getMax(),
                    difference);
        }
        return differingClasses;
    }

    private static ServiceLevelRecorder runOnSockets(Scenario scenario)
            throws IOException, InterruptedException {
        try (ScenarioRunner runner = new ScenarioRunner(scenario, null, false)) {
            return runner.run(line -> {}).serviceLevels();
        }
    }

    private List<ServiceLevelRecorder> simulate(Scenario scenario) throws IOException {
        List<ServiceLevelRecorder> runs = new ArrayList<>();
        for (int variation = 0; variation < Math.max(1, simulatedRuns); variation++) {
            runs.add(SimulationRun.run(scenario, null, false, null, variation).serviceLevels());
        }
        return runs;
    }

    private static double percent(ServiceLevelRecorder serviceLevels, String requestClass) {
        return PERCENT * serviceLevels.requestClass(requestClass).serviceLevel();
    }
}
