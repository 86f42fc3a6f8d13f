package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import milletyoke.config.grammar.FleetLexer;
import milletyoke.config.grammar.FleetParser;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.atn.PredictionMode;

/**
 * Parses the text of one file and reports all syntax errors in one pass. Size, nesting and the
 * length of expressions are bounded before the parser runs, as the parser and all that walks its
 * tree recurse as deeply as the text nests.
 */
final class FleetReader {
    static final int MAX_DEPTH = 64;
    private static final int MAX_FILE_CHARS = 16 << 20;
    private static final int MAX_OPERATORS = 256;
    private static final int MAX_DIAGNOSTICS = 200;

    private static final Set<String> OPENING = Set.of("(", "{");
    private static final Set<String> CLOSING = Set.of(")", "}");
    private static final Set<String> OPERATORS = Set.of("+", "-", "*", "/");

    /** What an expression cannot contain: here the count of operators starts again. */
    private static final Set<String> EXPRESSION_ENDS = Set.of(";", ",", "{", "}");

    private final String file;
    private final String text;
    private final List<Diagnostic> diagnostics;
    private List<String> lines;

    private FleetReader(String file, String text, List<Diagnostic> diagnostics) {
        this.file = file;
        this.text = text;
        this.diagnostics = diagnostics;
    }

    /**
     * Parses a text; statements with errors are left out.
     *
     * @param diagnostics receives the errors
     */
    static SyntaxTree.File read(String file, String text, List<Diagnostic> diagnostics) {
        return new FleetReader(file, text, diagnostics).read();
    }

    /** All tokens with comments; null where the text exceeds a limit, which was reported. */
    static CommonTokenStream tokens(String file, String text, List<Diagnostic> diagnostics) {
        return new FleetReader(file, text, diagnostics).tokens();
    }

    private CommonTokenStream tokens() {
        if (text.length() > MAX_FILE_CHARS) {
            report(
                    "size",
                    1,
                    1,
                    "over " + MAX_FILE_CHARS + " characters in one file",
                    "split it and include the parts");
            return null;
        }
        FleetLexer lexer = new FleetLexer(CharStreams.fromString(text, file));
        lexer.removeErrorListeners();
        CommonTokenStream tokens = new CommonTokenStream(lexer);
        tokens.fill();
        return isWithinNestingLimits(tokens) ? tokens : null;
    }

    /** Bounds the depth of recursion; no useful configuration comes near the limits. */
    private boolean isWithinNestingLimits(CommonTokenStream tokens) {
        int depth = 0;
        int signs = 0;
        int operators = 0;
        for (Token token : tokens.getTokens()) {
            if (token.getChannel() != Token.DEFAULT_CHANNEL) {
                continue;
            }
            String symbol = token.getText();
            depth += depthChange(symbol);
            signs = symbol.equals("-") ? signs + 1 : 0;
            if (EXPRESSION_ENDS.contains(symbol)) {
                operators = 0;
            } else if (OPERATORS.contains(symbol)) {
                operators++;
            }
            if (depth > MAX_DEPTH || signs > MAX_DEPTH || operators > MAX_OPERATORS) {
                reportNesting(token);
                return false;
            }
        }
        return true;
    }

    private static int depthChange(String symbol) {
        if (OPENING.contains(symbol)) {
            return 1;
        }
        return CLOSING.contains(symbol) ? -1 : 0;
    }

    private void reportNesting(Token token) {
        report(
                "depth",
                token.getLine(),
                token.getCharPositionInLine() + 1,
                "nested deeper than "
                        + MAX_DEPTH
                        + ", or over "
                        + MAX_OPERATORS
                        + " operators in one figure",
                "name parts of it with let");
    }

    private SyntaxTree.File read() {
        CommonTokenStream tokens = tokens();
        if (tokens == null) {
            return new SyntaxTree.File(file, List.of());
        }
        FleetParser parser = new FleetParser(tokens);
        parser.getInterpreter().setPredictionMode(PredictionMode.SLL);
        parser.removeErrorListeners();
        parser.addErrorListener(new SyntaxErrorListener());
        SyntaxTreeBuilder builder = new SyntaxTreeBuilder(file);
        List<SyntaxTree.Statement> statements = new ArrayList<>();
        for (FleetParser.StatementContext context : parser.file().statement()) {
            SyntaxTree.Statement statement = builder.statement(context);
            if (statement != null) {
                statements.add(statement);
            }
        }
        return new SyntaxTree.File(file, statements);
    }

    private void report(String code, int line, int column, String message, String hint) {
        if (diagnostics.size() < MAX_DIAGNOSTICS) {
            diagnostics.add(
                    new Diagnostic(
                            true, code, file, line, column, message, hint, line(line), List.of()));
        }
    }

    private String line(int number) {
        lines = lines == null ? text.lines().toList() : lines;
        return number >= 1 && number <= lines.size() ? lines.get(number - 1) : "";
    }

    /** Turns the parser's errors into diagnostics. */
    private final class SyntaxErrorListener extends BaseErrorListener {
        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            report("syntax", line, column + 1, describe(message, symbol), "");
        }

        private static String describe(String message, Object symbol) {
            if (symbol instanceof Token token && token.getType() == FleetLexer.OTHER) {
                int codePoint = token.getText().codePointAt(0);
                return "\""
                        + token.getText()
                        + "\" (U+"
                        + String.format(Locale.ROOT, "%04X", codePoint)
                        + ") has no place here; names take letters a to z, digits, - and _";
            }
            return message.replaceAll("\\s+", " ").replace("<EOF>", "the end of the file");
        }
    }
}
