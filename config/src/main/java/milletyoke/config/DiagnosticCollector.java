package milletyoke.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import milletyoke.config.SyntaxTree.Position;

/** Collects the diagnostics of one check and adds the source line to each of them. */
final class DiagnosticCollector {
    private static final int MAX_DIAGNOSTICS = 1_000;

    private final List<Diagnostic> diagnostics = new ArrayList<>();
    private final Map<String, String> texts = new HashMap<>();
    private final Map<String, List<String>> lines = new HashMap<>();

    /** Adds the text of a file, which diagnostics quote. */
    void addSource(String file, String text) {
        texts.put(file, text);
    }

    /** Returns the live list of diagnostics, to which the parser adds its own. */
    List<Diagnostic> all() {
        return diagnostics;
    }

    boolean hasErrors() {
        return diagnostics.stream().anyMatch(Diagnostic::isError);
    }

    /** Returns a copy of the diagnostics, ordered by file, line and column. */
    List<Diagnostic> sorted() {
        return diagnostics.stream()
                .sorted(
                        Comparator.comparing(Diagnostic::file)
                                .thenComparingInt(Diagnostic::line)
                                .thenComparingInt(Diagnostic::column))
                .toList();
    }

    void error(Position position, String code, String message, String hint) {
        report(true, position, code, message, hint, List.of());
    }

    void warn(Position position, String code, String message, String hint) {
        report(false, position, code, message, hint, List.of());
    }

    /** Reports an error with the chain of files that led to it. */
    void error(Position position, String code, String message, String hint, List<String> chain) {
        report(true, position, code, message, hint, chain);
    }

    private void report(
            boolean isError,
            Position position,
            String code,
            String message,
            String hint,
            List<String> chain) {
        if (diagnostics.size() >= MAX_DIAGNOSTICS) {
            return;
        }
        diagnostics.add(
                new Diagnostic(
                        isError,
                        code,
                        position.file(),
                        position.line(),
                        position.column(),
                        message,
                        hint,
                        sourceLine(position),
                        chain));
    }

    private String sourceLine(Position position) {
        List<String> fileLines =
                lines.computeIfAbsent(
                        position.file(), file -> texts.getOrDefault(file, "").lines().toList());
        boolean exists = position.line() >= 1 && position.line() <= fileLines.size();
        return exists ? fileLines.get(position.line() - 1) : "";
    }
}
