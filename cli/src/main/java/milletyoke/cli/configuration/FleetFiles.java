package milletyoke.cli.configuration;

import java.nio.file.Path;
import java.util.List;
import milletyoke.config.Checker;
import milletyoke.config.Diagnostic;
import milletyoke.config.SourceProvider;
import milletyoke.config.disk.FileSourceProvider;

/** Reads configuration files and prints their diagnostics, for all subcommands. */
final class FleetFiles {
    private FleetFiles() {}

    /**
     * Checks a file and its includes.
     *
     * @throws IllegalArgumentException if a file cannot be read
     */
    static Checker.Result check(Path file) {
        try {
            return Checker.check(new FileSourceProvider(), FileSourceProvider.name(file));
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            throw unreadable(file, unreadable);
        }
    }

    /**
     * Reads the text of a file.
     *
     * @throws IllegalArgumentException if the file cannot be read
     */
    static String readText(Path file) {
        try {
            return new FileSourceProvider().text(file.toString());
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            throw unreadable(file, unreadable);
        }
    }

    /**
     * Prints diagnostics to standard error.
     *
     * @return whether none of them is an error
     */
    static boolean printDiagnostics(List<Diagnostic> diagnostics) {
        diagnostics.forEach(diagnostic -> System.err.print(diagnostic.text()));
        return diagnostics.stream().noneMatch(Diagnostic::isError);
    }

    /** Prints the errors as {@link #printDiagnostics} does and omits the warnings. */
    static boolean printErrors(List<Diagnostic> diagnostics) {
        return printDiagnostics(diagnostics.stream().filter(Diagnostic::isError).toList());
    }

    private static IllegalArgumentException unreadable(
            Path file, SourceProvider.UnreadableSourceException cause) {
        return new IllegalArgumentException(file + ": " + cause.getMessage(), cause);
    }
}
