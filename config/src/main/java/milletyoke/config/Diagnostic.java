package milletyoke.config;

import java.util.List;

/**
 * Something to be said of a configuration, at its place. Lines and columns count from 1.
 *
 * @param code stays the same over versions, as {@code unit} or {@code cycle}
 * @param hint what to do, empty where there is nothing to add
 * @param sourceLine the line itself, without its end
 * @param chain further places that belong to it, as the files of an include cycle
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

    /** Several lines: the place and what is wrong, the line, a caret, the hint. */
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
            int from = Math.max(0, Math.min(column - 1 - 60, sourceLine.length()));
            String part =
                    sourceLine
                            .substring(from, Math.min(sourceLine.length(), from + 120))
                            .replace('\t', ' ');
            out.append("    ")
                    .append(part)
                    .append('\n')
                    .append("    ")
                    .append(" ".repeat(Math.max(0, Math.min(part.length(), column - 1 - from))))
                    .append("^\n");
        }
        chain.forEach(c -> out.append("    ").append(c).append('\n'));
        if (!hint.isEmpty()) {
            out.append("    hint: ").append(hint).append('\n');
        }
        return out.toString();
    }
}
