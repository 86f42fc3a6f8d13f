package milletyoke.cli.simulation;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import milletyoke.simulation.experiment.Experiment;
import milletyoke.simulation.experiment.ExperimentRunner;
import milletyoke.simulation.experiment.ResultStore;
import milletyoke.simulation.report.Report;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code simulate run}: runs an experiment and writes its report. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Runs an experiment on all cores; runs whose results are already stored are skipped.")
final class RunExperimentCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "EXPERIMENT",
            description = "Experiment file, JSON5: its scenario, arms, values and seeds.")
    private Path file;

    @Option(
            names = "--to",
            paramLabel = "FOLDER",
            required = true,
            description = "Folder for the results and the report.")
    private Path folder;

    @Option(
            names = "--threads",
            paramLabel = "N",
            description = "Number of concurrent runs; by default one per core.")
    private int threads = Runtime.getRuntime().availableProcessors();

    @Option(names = "--quiet", description = "Omit the progress line printed after each run.")
    private boolean isQuiet;

    @Override
    public Integer call() throws Exception {
        Experiment experiment = Experiment.read(file);
        Files.createDirectories(folder);
        Consumer<String> progress = isQuiet ? line -> {} : System.err::println;
        try (ResultStore results = new ResultStore(folder.resolve("results.jsonl"))) {
            new ExperimentRunner(experiment, results, Math.max(1, threads)).run(progress);
            Path csv = results.writeCsv();
            List<String> arms = experiment.arms().stream().map(Experiment.Arm::name).toList();
            Report report = new Report(experiment.name(), experiment.axis(), results.rows(), arms);
            System.out.print(report.text());
            System.out.println("report " + report.write(folder) + ", table " + csv);
        }
        return ExitCode.OK;
    }
}
