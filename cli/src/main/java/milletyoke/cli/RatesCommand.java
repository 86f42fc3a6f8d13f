package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.ScenarioRunner.ScenarioResult;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code rates}: what the initiators add to latency, at several rates of requests. */
@Command(
        name = "rates",
        mixinStandardHelpOptions = true,
        description =
                "Runs one scenario at several rates, through the initiators and directly to the targets,"
                        + " in this one process, and prints what the initiators add."
                        + " Nothing is recorded or audited: see scenario.")
final class RatesCommand implements Callable<Integer> {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final String HEADER =
            "   rate  asked through: in time   p50     p99 ms   straight: in time   p50     p99 ms"
                    + "   added: p50    p99 ms   turn p99 us (slowest initiator)  CPU us/access";

    /** The time of an event loop's turn in an initiator's line of counters. */
    private static final Pattern TURN_TIMES =
            Pattern.compile(".*turns p50 \\d+ us, p99 (\\d+) us.*");

    @Parameters(paramLabel = "SCRIPT", description = "Scenario script; its own rate is not used.")
    private Path script;

    @Option(
            names = "--at",
            split = ",",
            required = true,
            paramLabel = "RATE",
            description = "Requests a second.")
    private List<Integer> rates;

    @Override
    public Integer call() throws IOException, InterruptedException, ScenarioFormatException {
        Scenario scenario = ScenarioParser.read(script);
        if (rates.stream().anyMatch(rate -> rate < 1)) {
            throw new IllegalArgumentException(
                    "--at takes rates of 1 a second and more, not " + rates);
        }
        warmUpCompiler(scenario.withRate(rates.get(0)));
        System.out.println(HEADER);
        for (int rate : rates) {
            ScenarioResult scheduled = run(scenario.withRate(rate), false);
            ScenarioResult direct = run(scenario.withRate(rate), true);
            printRow(rate, scheduled, direct);
        }
        return ExitCode.OK;
    }

    /** Lets the JVM compile both paths before anything is measured. */
    private static void warmUpCompiler(Scenario scenario) throws IOException, InterruptedException {
        run(scenario, false);
        run(scenario, true);
    }

    private static ScenarioResult run(Scenario scenario, boolean isDirect)
            throws IOException, InterruptedException {
        try (ScenarioRunner runner = new ScenarioRunner(scenario, null, isDirect)) {
            return runner.run(line -> {});
        }
    }

    private static void printRow(int rate, ScenarioResult scheduled, ScenarioResult direct) {
        Histogram scheduledLatencies = scheduled.serviceLevels().latencies();
        Histogram directLatencies = direct.serviceLevels().latencies();
        double scheduledMedian = millis(scheduledLatencies, 50);
        double scheduledTail = millis(scheduledLatencies, 99);
        double directMedian = millis(directLatencies, 50);
        double directTail = millis(directLatencies, 99);
        System.out.printf(
                "%7d %7d %15.3f %7.2f %9.2f %18.3f %7.2f %9.2f %12.2f %8.2f %12s %26.0f%n",
                rate,
                scheduled.serviceLevels().totalRequests(),
                scheduled.serviceLevels().overallServiceLevel(),
                scheduledMedian,
                scheduledTail,
                direct.serviceLevels().overallServiceLevel(),
                directMedian,
                directTail,
                scheduledMedian - directMedian,
                scheduledTail - directTail,
                slowestTurnMicros(scheduled),
                scheduled.cpuMicrosPerRequest());
    }

    /** The largest 99th percentile of an event loop's turn among the initiators. */
    private static int slowestTurnMicros(ScenarioResult result) {
        return result.initiatorCounters().stream()
                .map(line -> TURN_TIMES.matcher(line).replaceAll("$1"))
                .mapToInt(Integer::parseInt)
                .max()
                .orElse(0);
    }

    private static double millis(Histogram latencies, double percentile) {
        return latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
