package milletyoke.cli;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import milletyoke.scenario.ScenarioRunner;
import milletyoke.scenario.audit.Audit;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.ScenarioParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Three initiators, eight targets and a small load on loopback, in this process, for 12 s.")
final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--show-script",
            description = "Print the script that is played, and play nothing.")
    private boolean show;

    @Override
    public Integer call() throws Exception {
        String text;
        try (InputStream in = DemoCommand.class.getResourceAsStream("/demo.day")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        if (show) {
            System.out.print(text);
            return 0;
        }
        Scenario day = ScenarioParser.read("demo.day", "demo", text);
        Path recording = Files.createTempFile("milletyoke-", ".recording");
        try {
            ScenarioRunner.ScenarioResult played;
            try (ScenarioRunner stage = new ScenarioRunner(day, recording, false)) {
                System.out.printf(
                        "%d initiators, %d targets, %.0f accesses a second for %d s; a target hangs at 4 s%n",
                        day.initiators(),
                        day.fleet().targets(),
                        day.load().requestsPerSecond(),
                        day.durationMicros() / 1_000_000);
                played = stage.run(System.out::println);
            }
            System.out.print(played.serviceLevels().text());
            Audit.Report report = Audit.audit(recording);
            System.out.print(report.text(true));
            return report.isClean() && played.isShutdownClean() && played.unfinished() == 0 ? 0 : 1;
        } finally {
            Files.deleteIfExists(recording);
        }
    }
}
