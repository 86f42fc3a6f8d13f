package milletyoke.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.ScenarioRunner.ScenarioResult;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioFormatException;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** The command {@code demo}: runs a small scenario on loopback and audits its recording. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs three initiators, eight targets and a small load on loopback, in this process, for 12 s.")
final class DemoCommand implements Callable<Integer> {
    private static final String SCRIPT_RESOURCE = "demo.day";
    private static final long MICROS_PER_SECOND = 1_000_000;

    @Option(names = "--show-script", description = "Print the scenario script without running it.")
    private boolean showScript;

    @Override
    public Integer call() throws IOException, InterruptedException, ScenarioFormatException {
        String script;
        try (InputStream in = DemoCommand.class.getResourceAsStream("/" + SCRIPT_RESOURCE)) {
            script = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        if (showScript) {
            System.out.print(script);
            return ExitCode.OK;
        }
        return run(ScenarioParser.read(SCRIPT_RESOURCE, "demo", script));
    }

    private static int run(Scenario scenario) throws IOException, InterruptedException {
        Path recording = Files.createTempFile("milletyoke-", ".recording");
        try {
            ScenarioResult result;
            try (ScenarioRunner runner = new ScenarioRunner(scenario, recording, false)) {
                printIntroduction(scenario);
                result = runner.run(System.out::println);
            }
            System.out.print(result.serviceLevels().text());
            Audit.Report report = Audit.audit(recording);
            System.out.print(report.text(true));
            boolean hasPassed =
                    report.isClean() && result.isShutdownClean() && result.unfinished() == 0;
            return hasPassed ? ExitCode.OK : ExitCode.SOFTWARE;
        } finally {
            Files.deleteIfExists(recording);
        }
    }

    private static void printIntroduction(Scenario scenario) {
        System.out.printf(
                "%d initiators, %d targets, %.0f requests per second for %d s; a target hangs at 4 s%n",
                scenario.initiators(),
                scenario.fleet().targets(),
                scenario.load().requestsPerSecond(),
                scenario.durationMicros() / MICROS_PER_SECOND);
    }
}
