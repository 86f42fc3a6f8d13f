package milletyoke.config;

import java.util.List;

/**
 * An error or a warning at a position in a configuration.
 *
 * @param isError false for a warning
 * @param code the kind of problem, such as {@code unit} or {@code cycle}; stable across versions
 * @param line counted from 1
 * @param column counted from 1
 * @param hint how to correct the problem; empty if there is no hint
 * @param sourceLine the text of the line, without its line break
 * @param chain related files, such as those of an include cycle, each as a line of text
 */
public record Diagnostic(
        boolean isError,
        String code,
        String file,
        int line,
        int column,
        String message,
        String hint,
        String sourceLine,
        List<String> chain) {

    private static final int MAX_QUOTED_CHARS = 120;
    private static final String INDENT = "    ";

    /**
     * Formats the diagnostic as several lines of text: position and message, source line, caret,
     * chain and hint.
     */
    public String text() {
        StringBuilder out = new StringBuilder();
        out.append(file)
                .append(':')
                .append(line)
                .append(':')
                .append(column)
                .append(": ")
                .append(isError ? "error" : "warning")
                .append(" [")
                .append(code)
                .append("]: ")
                .append(message)
                .append('\n');
        if (!sourceLine.isEmpty()) {
            appendSourceLine(out);
        }
        chain.forEach(entry -> out.append(INDENT).append(entry).append('\n'));
        if (!hint.isEmpty()) {
            out.append(INDENT).append("hint: ").append(hint).append('\n');
        }
        return out.toString();
    }

    /** Appends the part of the source line around the column, with a caret below the column. */
    private void appendSourceLine(StringBuilder out) {
        int half = MAX_QUOTED_CHARS / 2;
        int start = Math.max(0, Math.min(column - 1 - half, sourceLine.length()));
        int end = Math.min(sourceLine.length(), start + MAX_QUOTED_CHARS);
        String quoted = sourceLine.substring(start, end).replace('\t', ' ');
        int caret = Math.max(0, Math.min(quoted.length(), column - 1 - start));
        out.append(INDENT).append(quoted).append('\n');
        out.append(INDENT).append(" ".repeat(caret)).append("^\n");
    }
}
