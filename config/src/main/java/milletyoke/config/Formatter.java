package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.grammar.FleetLexer;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Token;

/**
 * One style for all: four blanks in a block, one statement a line, one empty line at most. Works on
 * tokens, so that every remark stays behind or above what it stood with and no figure is written
 * another way. A file with an error of syntax is left alone.
 */
public final class Formatter {
    private final StringBuilder out = new StringBuilder();
    private int depth;
    private boolean lineStart = true;

    private Formatter() {}

    /**
     * @return null where the text has errors of syntax, which are in the findings
     */
    public static String format(String file, String text, List<Diagnostic> findings) {
        List<Diagnostic> own = new ArrayList<>();
        FleetReader.read(file, text, own);
        CommonTokenStream tokens = own.isEmpty() ? FleetReader.tokens(file, text, own) : null;
        findings.addAll(own);
        return tokens == null ? null : new Formatter().format(tokens.getTokens());
    }

    private String format(List<Token> tokens) {
        Token before = null;
        int breaks = 0;
        for (Token t : tokens) {
            if (t.getType() == FleetLexer.BLANK) {
                breaks +=
                        (int)
                                t.getText()
                                        .replace("\r\n", "\n")
                                        .chars()
                                        .filter(c -> c == '\n' || c == '\r')
                                        .count();
                continue;
            }
            if (t.getType() == Token.EOF) {
                break;
            }
            put(before, t, breaks);
            before = t;
            breaks = 0;
        }
        return out.isEmpty() || lineStart ? out.toString() : out.append('\n').toString();
    }

    private void put(Token before, Token t, int breaks) {
        String text = t.getText();
        boolean remark = t.getType() == FleetLexer.REMARK;
        if (remark && before != null && breaks == 0) {
            endOfLine();
            out.setLength(out.length() - 1); // behind what it stood behind
            out.append("  ").append(clean(text)).append('\n');
            return;
        }
        if (text.equals("}")) {
            depth--;
            endOfLine();
        } else if (breaks > 1 && before != null && !before.getText().equals("{")) {
            endOfLine();
            out.append('\n');
        }
        if (remark) {
            endOfLine();
            indent();
            out.append(clean(text)).append('\n');
            lineStart = true;
            return;
        }
        if (lineStart) {
            indent();
        } else if (blank(before, text)) {
            out.append(' ');
        }
        out.append(text);
        lineStart = false;
        if (text.equals("{")) {
            depth++;
            endOfLine();
        } else if (text.equals("}") || text.equals(";")) {
            endOfLine();
        }
    }

    private static String clean(String remark) {
        return remark.stripTrailing();
    }

    private static boolean blank(Token before, String text) {
        return !text.equals(";")
                && !text.equals(",")
                && !text.equals(")")
                && !before.getText().equals("(");
    }

    private void indent() {
        out.append("    ".repeat(Math.max(0, depth)));
    }

    private void endOfLine() {
        if (!lineStart) {
            out.append('\n');
            lineStart = true;
        }
    }

    /** A name as the language writes it: bare where it can be. */
    static String label(String name) {
        return name.matches("[a-zA-Z]([a-zA-Z0-9_]|-[a-zA-Z0-9])*(-?\\*)?")
                ? name
                : "\"" + name.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
