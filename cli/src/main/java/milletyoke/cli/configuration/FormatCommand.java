package milletyoke.cli.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import milletyoke.config.Diagnostic;
import milletyoke.config.Formatter;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code config format}: formats files in the standard style, or checks them. */
@Command(
        name = "format",
        mixinStandardHelpOptions = true,
        description =
                "Formats files in the standard style; files with syntax errors are left unchanged.")
final class FormatCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE")
    private List<Path> files;

    @Option(
            names = "--check",
            description = "Change no file; exit with 1 if a file is not in the standard style.")
    private boolean isCheckOnly;

    @Override
    public Integer call() throws IOException {
        boolean allFormatted = true;
        for (Path file : files) {
            allFormatted &= format(file);
        }
        return allFormatted ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /**
     * Returns whether the file is now, or with {@code --check} already was, in the standard style.
     */
    private boolean format(Path file) throws IOException {
        String text = FleetFiles.readText(file);
        List<Diagnostic> diagnostics = new ArrayList<>();
        String formatted = Formatter.format(file.toString(), text, diagnostics);
        if (formatted == null) {
            FleetFiles.printDiagnostics(diagnostics);
            return false;
        }
        if (formatted.equals(text)) {
            return true;
        }
        System.out.println(
                file + (isCheckOnly ? " is not in the standard style" : " was formatted"));
        if (!isCheckOnly) {
            replace(file, formatted);
        }
        return !isCheckOnly;
    }

    /** Replaces the file's content atomically: a reader sees the old text or the new one. */
    private static void replace(Path file, String text) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        Path temporary = Files.createTempFile(folder, ".format", null);
        Files.write(temporary, text.getBytes(StandardCharsets.UTF_8));
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
