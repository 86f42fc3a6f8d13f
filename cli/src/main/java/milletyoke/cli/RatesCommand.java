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

/**
 * The command {@code rates}: measures the latency that initiators add, at several request rates.
 */
@Command(
        name = "rates",
        mixinStandardHelpOptions = true,
        description =
                "Runs one scenario at several rates, through the initiators and directly to the targets,"
                        + " in this process, and prints the latency that the initiators add."
                        + " Nothing is recorded or audited; the command scenario does that.")
final class RatesCommand implements Callable<Integer> {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final String HEADER =
            "   rate requests  scheduled: in time     p50   p99 ms   direct: in time     p50   p99 ms "
                    + "  added: p50   p99 ms  turn p99 us (slowest)  CPU us/request";

    /** Matches the 99th percentile of the event loop's turn times in an initiator's counters. */
    private static final Pattern TURN_TIMES =
            Pattern.compile(".*turns p50 \\d+ us, p99 (\\d+) us.*");

    @Parameters(
            paramLabel = "SCRIPT",
            description = "Scenario script; its own request rate is ignored.")
    private Path script;

    @Option(
            names = "--at",
            split = ",",
            required = true,
            paramLabel = "RATE",
            description = "Requests per second, separated by commas.")
    private List<Integer> rates;

    @Override
    public Integer call() throws IOException, InterruptedException, ScenarioFormatException {
        Scenario scenario = ScenarioParser.read(script);
        if (rates.stream().anyMatch(rate -> rate < 1)) {
            throw new IllegalArgumentException(
                    "--at: expected rates of at least 1 per second, not " + rates);
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

    /** Runs both paths once so that the JVM compiles them before the measured runs. */
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
                "%7d %8d %19.3f %7.2f %8.2f %17.3f %7.2f %8.2f %12.2f %8.2f %22s %15.0f%n",
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

    /** Returns the largest 99th percentile of event loop turn times among the initiators. */
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
