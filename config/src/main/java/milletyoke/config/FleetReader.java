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
 * Parses the text of one file and reports all syntax errors in one pass. Size, nesting depth and
 * the length of expressions are checked before the parser runs, because the parser and the code
 * that walks the syntax tree recurse as deeply as the text is nested.
 */
final class FleetReader {
    static final int MAX_DEPTH = 64;
    private static final int MAX_FILE_CHARS = 16 << 20;
    private static final int MAX_OPERATORS = 256;
    private static final int MAX_DIAGNOSTICS = 200;

    private static final Set<String> OPENING = Set.of("(", "{");
    private static final Set<String> CLOSING = Set.of(")", "}");
    private static final Set<String> OPERATORS = Set.of("+", "-", "*", "/");

    /** Tokens that no expression contains; each resets the count of operators. */
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
     * Parses a text.
     *
     * @param diagnostics receives the errors
     * @return the syntax tree, without the statements that have errors
     */
    static SyntaxTree.File read(String file, String text, List<Diagnostic> diagnostics) {
        return new FleetReader(file, text, diagnostics).read();
    }

    /**
     * Returns all tokens, including comments. Reports an error and returns null if the text exceeds
     * a limit.
     */
    static CommonTokenStream tokens(String file, String text, List<Diagnostic> diagnostics) {
        return new FleetReader(file, text, diagnostics).tokens();
    }

    private CommonTokenStream tokens() {
        if (text.length() > MAX_FILE_CHARS) {
            reportError(
                    "size",
                    1,
                    1,
                    "more than " + MAX_FILE_CHARS + " characters in one file",
                    "split the file and include the parts");
            return null;
        }
        FleetLexer lexer = new FleetLexer(CharStreams.fromString(text, file));
        lexer.removeErrorListeners();
        CommonTokenStream tokens = new CommonTokenStream(lexer);
        tokens.fill();
        return isWithinNestingLimits(tokens) ? tokens : null;
    }

    /**
     * Returns whether the text is within the limits that bound the depth of recursion; reports an
     * error if not. Useful configurations are far below the limits.
     */
    private boolean isWithinNestingLimits(CommonTokenStream tokens) {
        int depth = 0;
        int minusSigns = 0;
        int operators = 0;
        for (Token token : tokens.getTokens()) {
            if (token.getChannel() != Token.DEFAULT_CHANNEL) {
                continue;
            }
            String symbol = token.getText();
            depth += depthChange(symbol);
            minusSigns = symbol.equals("-") ? minusSigns + 1 : 0;
            if (EXPRESSION_ENDS.contains(symbol)) {
                operators = 0;
            } else if (OPERATORS.contains(symbol)) {
                operators++;
            }
            if (depth > MAX_DEPTH || minusSigns > MAX_DEPTH || operators > MAX_OPERATORS) {
                reportNestingError(token);
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

    private void reportNestingError(Token token) {
        reportError(
                "depth",
                token.getLine(),
                token.getCharPositionInLine() + 1,
                "nested deeper than "
                        + MAX_DEPTH
                        + ", or more than "
                        + MAX_OPERATORS
                        + " operators in one expression",
                "define parts of the expression with let");
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

    private void reportError(String code, int line, int column, String message, String hint) {
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

    /** Converts the parser's errors to diagnostics. */
    private final class SyntaxErrorListener extends BaseErrorListener {
        @Override
        public void syntaxError(
                Recognizer<?, ?> recognizer,
                Object symbol,
                int line,
                int column,
                String message,
                RecognitionException cause) {
            reportError("syntax", line, column + 1, describe(message, symbol), "");
        }

        private static String describe(String message, Object symbol) {
            if (symbol instanceof Token token && token.getType() == FleetLexer.OTHER) {
                int codePoint = token.getText().codePointAt(0);
                return "\""
                        + token.getText()
                        + "\" (U+"
                        + String.format(Locale.ROOT, "%04X", codePoint)
                        + ") is not allowed here; names consist of the letters a to z, digits, - and _";
            }
            return message.replaceAll("\\s+", " ").replace("<EOF>", "the end of the file");
        }
    }
}
