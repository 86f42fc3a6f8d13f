package milletyoke.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "rates",
        mixinStandardHelpOptions = true,
        description =
                "Plays one day at several rates, through the initiators and straight to the targets, in this one process,"
                        + " and shows what the way through adds. Nothing is recorded or audited: see rehearse.")
final class RatesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "Script of the day; its own rate is not used.")
    private Path script;

    @Option(
            names = "--at",
            split = ",",
            required = true,
            paramLabel = "RATE",
            description = "Accesses a second.")
    private List<Integer> rates;

    @Override
    public Integer call() throws Exception {
        Scenario day = ScenarioParser.read(script);
        if (rates.stream().anyMatch(r -> r < 1)) {
            throw new IllegalArgumentException(
                    "--at takes rates of 1 a second and more, not " + rates);
        }
        play(
                day.withRate(rates.get(0)),
                false); // the machine's compiler has its say before anything is measured
        play(day.withRate(rates.get(0)), true);
        System.out.println(
                "   rate  asked through: in time   p50     p99 ms   straight: in time   p50     p99 ms"
                        + "   added: p50    p99 ms   turn p99 us (slowest initiator)  CPU us/access");
        for (int rate : rates) {
            ScenarioRunner.ScenarioResult through = play(day.withRate(rate), false);
            ScenarioRunner.ScenarioResult straight = play(day.withRate(rate), true);
            Histogram a = through.serviceLevels().latencies();
            Histogram b = straight.serviceLevels().latencies();
            System.out.printf(
                    "%7d %7d %15.3f %7.2f %9.2f %18.3f %7.2f %9.2f %12.2f %8.2f %12s %26.0f%n",
                    rate,
                    through.serviceLevels().totalRequests(),
                    through.serviceLevels().overallServiceLevel(),
                    millis(a, 50),
                    millis(a, 99),
                    straight.serviceLevels().overallServiceLevel(),
                    millis(b, 50),
                    millis(b, 99),
                    millis(a, 50) - millis(b, 50),
                    millis(a, 99) - millis(b, 99),
                    through.initiatorCounters().stream()
                            .map(c -> c.replaceAll(".*turns p50 \\d+ us, p99 (\\d+) us.*", "$1"))
                            .mapToInt(Integer::parseInt)
                            .max()
                            .orElse(0),
                    through.cpuMicrosPerRequest());
        }
        return 0;
    }

    private static double millis(Histogram times, double percentile) {
        return times.getValueAtPercentile(percentile) / 1e3;
    }

    private static ScenarioRunner.ScenarioResult play(Scenario day, boolean straight)
            throws IOException, InterruptedException {
        try (ScenarioRunner stage = new ScenarioRunner(day, null, straight)) {
            return stage.run(line -> {});
        }
    }
}
