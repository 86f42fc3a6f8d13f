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

/** The command {@code simulate compare-sockets}. */
@Command(
        name = "compare-sockets",
        aliases = "beside",
        mixinStandardHelpOptions = true,
        description =
                "Runs scenarios on sockets and in virtual time and compares service by request class;"
                        + " 1 if a class differs by more than allowed.")
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
                    "Simulated runs of the same scenario, in which frames have"
                            + " other latencies (${DEFAULT-VALUE}).")
    private int simulatedRuns = 5;

    @Option(
            names = "--allowed",
            paramLabel = "POINTS",
            description = "Allowed difference in percentage points a class (${DEFAULT-VALUE}).")
    private double allowedPoints = 5;

    @Override
    public Integer call() throws Exception {
        System.out.printf(
                "%-32s %-16s %8s %22s %8s%n",
                "day", "category", "sockets", "lab, mean and range", "apart");
        int differing = 0;
        for (Scenario scenario : ScenarioParser.readAll(scripts)) {
            differing += compare(scenario);
        }
        System.out.printf(
                "%d categories are further apart than %.1f points%n", differing, allowedPoints);
        return differing == 0 ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** Returns how many request classes differ by more than allowed. */
    private int compare(Scenario scenario) throws IOException, InterruptedException {
        ServiceLevelRecorder sockets = runOnSockets(scenario);
        List<ServiceLevelRecorder> simulated = simulate(scenario);
        int differing = 0;
        for (String requestClass : sockets.requestClasses().keySet()) {
            double measured = percent(sockets, requestClass);
            DoubleSummaryStatistics predicted =
                    simulated.stream()
                            .mapToDouble(run -> percent(run, requestClass))
                            .summaryStatistics();
            double difference = predicted.getAverage() - measured;
            differing += Math.abs(difference) > allowedPoints ? 1 : 0;
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
        return differing;
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
