package milletyoke.cli.simulation;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import milletyoke.simulation.experiment.ResultRow;
import milletyoke.simulation.experiment.ResultStore;
import milletyoke.simulation.report.Report;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code simulate report}: generates a report from stored results. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description =
                "Generates the report of stored results; several files are compared as one experiment.")
final class ReportCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "RESULTS", description = "Result files, JSON Lines.")
    private List<Path> files;

    @Option(
            names = "--to",
            paramLabel = "FOLDER",
            required = true,
            description = "Folder for the report.")
    private Path folder;

    @Option(
            names = "--axis",
            paramLabel = "TEXT",
            description = "Name of the quantity that is varied, as the axis label.")
    private String axis = "value";

    @Override
    public Integer call() throws IOException {
        List<ResultRow> rows = readRows();
        if (rows.isEmpty()) {
            throw new IllegalArgumentException("no results in " + files);
        }
        String title =
                files.stream()
                        .map(file -> String.valueOf(file.getFileName()))
                        .collect(Collectors.joining(", "));
        Report report = new Report(title, axis, rows, List.of());
        System.out.print(report.text());
        System.out.println("report " + report.write(folder));
        return ExitCode.OK;
    }

    private List<ResultRow> readRows() throws IOException {
        List<ResultRow> rows = new ArrayList<>();
        for (Path file : files) {
            String prefix = armPrefix(file);
            for (ResultRow row : ResultStore.read(file)) {
                rows.add(row.withArm(prefix + row.arm()));
            }
        }
        return rows;
    }

    /** Returns the prefix that distinguishes equal arms of several files: the file's folder. */
    private String armPrefix(Path file) {
        return files.size() == 1 ? "" : file.toAbsolutePath().getParent().getFileName() + ": ";
    }
}
