package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.grammar.FleetLexer;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Token;

/**
 * Formats configuration files: indents by four spaces, puts each statement on its own line and
 * keeps at most one empty line in a row. Works on tokens, so that comments keep their positions and
 * numbers stay as written. A file with a syntax error is not formatted.
 */
public final class Formatter {
    private static final String INDENT = "    ";

    private final StringBuilder out = new StringBuilder();
    private int depth;
    private boolean isAtLineStart = true;

    private Formatter() {}

    /**
     * Formats a text.
     *
     * @param diagnostics receives the syntax errors
     * @return the formatted text; null if there are syntax errors
     */
    public static String format(String file, String text, List<Diagnostic> diagnostics) {
        List<Diagnostic> errors = new ArrayList<>();
        FleetReader.read(file, text, errors);
        CommonTokenStream tokens = errors.isEmpty() ? FleetReader.tokens(file, text, errors) : null;
        diagnostics.addAll(errors);
        return tokens == null ? null : new Formatter().format(tokens.getTokens());
    }

    private String format(List<Token> tokens) {
        Token previous = null;
        int lineBreaks = 0;
        for (Token token : tokens) {
            if (token.getType() == FleetLexer.BLANK) {
                lineBreaks += countLineBreaks(token.getText());
                continue;
            }
            if (token.getType() == Token.EOF) {
                break;
            }
            append(previous, token, lineBreaks);
            previous = token;
            lineBreaks = 0;
        }
        return out.isEmpty() || isAtLineStart ? out.toString() : out.append('\n').toString();
    }

    private static int countLineBreaks(String whitespace) {
        String normalized = whitespace.replace("\r\n", "\n");
        return (int) normalized.chars().filter(c -> c == '\n' || c == '\r').count();
    }

    private void append(Token previous, Token token, int lineBreaks) {
        String text = token.getText();
        boolean isComment = token.getType() == FleetLexer.REMARK;
        if (isComment && previous != null && lineBreaks == 0) {
            endLine();
            out.setLength(out.length() - 1); // a comment that follows a token stays on its line
            out.append("  ").append(text.stripTrailing()).append('\n');
            return;
        }
        if (text.equals("}")) {
            depth--;
            endLine();
        } else if (lineBreaks > 1 && previous != null && !previous.getText().equals("{")) {
            endLine();
            out.append('\n');
        }
        if (isComment) {
            endLine();
            indent();
            out.append(text.stripTrailing()).append('\n');
            isAtLineStart = true;
            return;
        }
        if (isAtLineStart) {
            indent();
        } else if (needsSpaceBefore(previous, text)) {
            out.append(' ');
        }
        out.append(text);
        isAtLineStart = false;
        if (text.equals("{")) {
            depth++;
            endLine();
        } else if (text.equals("}") || text.equals(";")) {
            endLine();
        }
    }

    private static boolean needsSpaceBefore(Token previous, String text) {
        return !text.equals(";")
                && !text.equals(",")
                && !text.equals(")")
                && !previous.getText().equals("(");
    }

    private void indent() {
        out.append(INDENT.repeat(Math.max(0, depth)));
    }

    private void endLine() {
        if (!isAtLineStart) {
            out.append('\n');
            isAtLineStart = true;
        }
    }

    /** Formats a name in the syntax of the language, with quotes only if they are needed. */
    static String label(String name) {
        return name.matches("[a-zA-Z]([a-zA-Z0-9_]|-[a-zA-Z0-9])*(-?\\*)?")
                ? name
                : "\"" + name.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
