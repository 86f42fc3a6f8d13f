package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.SyntaxTree.Position;
import milletyoke.config.grammar.FleetLexer;
import milletyoke.config.grammar.FleetParser;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.atn.PredictionMode;

/**
 * Text to syntax, with every finding of one pass. Bounded before the parser sees anything: size,
 * nesting and the length of an expression, since the parser and all that walks its tree go as deep
 * as the text does.
 */
final class FleetReader {
    static final int MAX_FILE_CHARS = 16 << 20,
            MAX_DEPTH = 64,
            MAX_OPERATORS = 256,
            MAX_DIAGNOSTICS = 200;

    private final String file;
    private final String text;
    private final List<Diagnostic> diagnostics;
    private List<String> lines;

    private FleetReader(String file, String text, List<Diagnostic> findings) {
        this.file = file;
        this.text = text;
        this.diagnostics = findings;
    }

    static SyntaxTree.File read(String file, String text, List<Diagnostic> findings) {
        return new FleetReader(file, text, findings).read();
    }

    /** All tokens, remarks too; null where the text is beyond a bound, and that was found. */
    static CommonTokenStream tokens(String file, String text, List<Diagnostic> findings) {
        FleetReader reader = new FleetReader(file, text, findings);
        return reader.isWithinSizeLimit() ? reader.lex() : null;
    }

    private CommonTokenStream lex() {
        FleetLexer lexer = new FleetLexer(CharStreams.fromString(text, file));
        lexer.removeErrorListeners();
        CommonTokenStream tokens = new CommonTokenStream(lexer);
        tokens.fill();
        return isWithinNestingLimits(tokens) ? tokens : null;
    }

    private boolean isWithinSizeLimit() {
        if (text.length() > MAX_FILE_CHARS) {
            report(
                    "size",
                    1,
                    1,
                    "over " + MAX_FILE_CHARS + " characters in one file",
                    "split it and include the parts");
        }
        return text.length() <= MAX_FILE_CHARS;
    }

    /** Guards the stack against text that nests without end; nothing that is meant needs more. */
    private boolean isWithinNestingLimits(CommonTokenStream tokens) {
        int depth = 0, signs = 0, operators = 0;
        for (Token t : tokens.getTokens()) {
            if (t.getChannel() != Token.DEFAULT_CHANNEL) {
                continue;
            }
            String s = t.getText();
            depth += s.equals("(") || s.equals("{") ? 1 : s.equals(")") || s.equals("}") ? -1 : 0;
            signs = s.equals("-") ? signs + 1 : 0;
            operators =
                    s.equals(";") || s.equals(",") || s.equals("}") || s.equals("{")
                            ? 0
                            : operators
                                    + (s.equals("+")
                                                    || s.equals("-")
                                                    || s.equals("*")
                                                    || s.equals("/")
                                            ? 1
                                            : 0);
            if (depth > MAX_DEPTH || signs > MAX_DEPTH || operators > MAX_OPERATORS) {
                report(
                        "depth",
                        t.getLine(),
                        t.getCharPositionInLine() + 1,
                        "nested deeper than "
                                + MAX_DEPTH
                                + ", or over "
                                + MAX_OPERATORS
                                + " operators in one figure",
                        "name parts of it with let");
                return false;
            }
        }
        return true;
    }

    private SyntaxTree.File read() {
        CommonTokenStream tokens = isWithinSizeLimit() ? lex() : null;
        if (tokens == null) {
            return new SyntaxTree.File(file, List.of());
        }
        FleetParser parser = new FleetParser(tokens);
        parser.getInterpreter().setPredictionMode(PredictionMode.SLL);
        parser.removeErrorListeners();
        parser.addErrorListener(
                new BaseErrorListener() {
                    @Override
                    public void syntaxError(
                            Recognizer<?, ?> r,
                            Object symbol,
                            int line,
                            int column,
                            String message,
                            RecognitionException e) {
                        report("syntax", line, column + 1, words(message, symbol), "");
                    }
                });
        List<SyntaxTree.Statement> statements = new ArrayList<>();
        for (FleetParser.StatementContext s : parser.file().statement()) {
            SyntaxTree.Statement made = statement(s);
            if (made != null) {
                statements.add(made);
            }
        }
        return new SyntaxTree.File(file, statements);
    }

    private static String words(String message, Object symbol) {
        if (symbol instanceof Token t && t.getType() == FleetLexer.OTHER) {
            return "\""
                    + t.getText()
                    + "\" (U+"
                    + String.format("%04X", t.getText().codePointAt(0))
                    + ") has no place here; names take letters a to z, digits, - and _";
        }
        return message.replaceAll("\\s+", " ").replace("<EOF>", "the end of the file");
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

    // ---- The parser's tree to ours; what it could not finish is left out, and was found ----

    private Position at(ParserRuleContext c) {
        return at(c.getStart());
    }

    private Position at(Token t) {
        return new Position(file, t.getLine(), t.getCharPositionInLine() + 1);
    }

    private SyntaxTree.Statement statement(FleetParser.StatementContext s) {
        if (s.exception != null) {
            return null;
        }
        if (s instanceof FleetParser.IncludeFileContext c && c.STRING() != null) {
            return new SyntaxTree.Include(at(c), unquoted(c.STRING().getText()));
        } else if (s instanceof FleetParser.ConstantContext c && c.NAME() != null) {
            SyntaxTree.Expression value = expression(c.expression());
            return value == null ? null : new SyntaxTree.Let(at(c), c.NAME().getText(), value);
        } else if (s instanceof FleetParser.SingleContext c && c.body() != null) {
            return new SyntaxTree.Block(
                    at(c), c.kind.getText(), "", null, null, settings(c.body()));
        } else if (s instanceof FleetParser.BlockContext c && c.name != null && c.body() != null) {
            return new SyntaxTree.Block(
                    at(c),
                    c.kind.getText(),
                    label(c.name),
                    c.parent == null ? null : label(c.parent),
                    c.parent == null ? null : at(c.parent),
                    settings(c.body()));
        } else if (s instanceof FleetParser.RouteContext c && c.pattern != null && c.pool != null) {
            return new SyntaxTree.Route(
                    at(c), c.what.getText(), label(c.pattern), label(c.pool), at(c.pool));
        }
        return null;
    }

    private static String label(FleetParser.LabelContext c) {
        return c.STRING() != null ? unquoted(c.STRING().getText()) : c.getText();
    }

    static String unquoted(String text) {
        return text.length() < 2
                ? ""
                : text.substring(1, text.length() - 1).replaceAll("\\\\([\"\\\\])", "$1");
    }

    private List<SyntaxTree.Setting> settings(FleetParser.BodyContext body) {
        List<SyntaxTree.Setting> all = new ArrayList<>();
        for (FleetParser.SettingContext s : body.setting()) {
            if (s.exception != null || s.key() == null) {
                continue;
            }
            List<SyntaxTree.Value> values = new ArrayList<>();
            for (FleetParser.ValueContext v : s.value()) {
                SyntaxTree.Expression e =
                        v.expression() == null ? null : expression(v.expression());
                if (v.STRING() != null || e != null) {
                    values.add(
                            new SyntaxTree.Value(
                                    at(v),
                                    e,
                                    v.STRING() == null ? null : unquoted(v.STRING().getText())));
                }
            }
            all.add(new SyntaxTree.Setting(at(s), s.key().getText(), values));
        }
        return all;
    }

    private SyntaxTree.Expression expression(FleetParser.ExpressionContext e) {
        if (e instanceof FleetParser.QuantityContext c && c.QUANTITY() != null) {
            return new SyntaxTree.NumberLiteral(at(c), c.QUANTITY().getText());
        } else if (e instanceof FleetParser.WordContext c && c.key() != null) {
            return new SyntaxTree.NameReference(at(c), c.key().getText());
        } else if (e instanceof FleetParser.GroupContext c) {
            return expression(c.expression());
        } else if (e instanceof FleetParser.MinusContext c) {
            SyntaxTree.Expression of = expression(c.expression());
            return of == null ? null : new SyntaxTree.Negation(at(c), of);
        } else if (e instanceof FleetParser.ProductContext c) {
            return binary(at(c), c.op, c.left, c.right);
        } else if (e instanceof FleetParser.SumContext c) {
            return binary(at(c), c.op, c.left, c.right);
        }
        return null;
    }

    private SyntaxTree.Expression binary(
            Position at,
            Token op,
            FleetParser.ExpressionContext a,
            FleetParser.ExpressionContext b) {
        SyntaxTree.Expression left = expression(a);
        SyntaxTree.Expression right = expression(b);
        return left == null || right == null || op == null
                ? null
                : new SyntaxTree.Binary(at, op.getText().charAt(0), left, right);
    }
}
