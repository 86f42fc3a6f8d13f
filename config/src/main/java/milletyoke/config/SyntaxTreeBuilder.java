package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.SyntaxTree.Position;
import milletyoke.config.grammar.FleetParser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;

/**
 * Builds the syntax tree of one file from the parse tree. Elements that the parser could not
 * complete are left out; the parser has reported them.
 */
final class SyntaxTreeBuilder {
    private final String file;

    SyntaxTreeBuilder(String file) {
        this.file = file;
    }

    /** Returns a statement; null if the parser could not complete it. */
    SyntaxTree.Statement statement(FleetParser.StatementContext context) {
        if (context.exception != null) {
            return null;
        }
        if (context instanceof FleetParser.IncludeFileContext include && include.STRING() != null) {
            return new SyntaxTree.Include(position(include), unquote(include.STRING().getText()));
        }
        if (context instanceof FleetParser.ConstantContext constant && constant.NAME() != null) {
            return constant(constant);
        }
        if (context instanceof FleetParser.SingleContext single && single.body() != null) {
            return new SyntaxTree.Block(
                    position(single),
                    single.kind.getText(),
                    "",
                    null,
                    null,
                    settings(single.body()));
        }
        if (context instanceof FleetParser.BlockContext block
                && block.name != null
                && block.body() != null) {
            return block(block);
        }
        if (context instanceof FleetParser.RouteContext route
                && route.pattern != null
                && route.pool != null) {
            return new SyntaxTree.Route(
                    position(route),
                    route.what.getText(),
                    label(route.pattern),
                    label(route.pool),
                    position(route.pool));
        }
        return null;
    }

    private SyntaxTree.Let constant(FleetParser.ConstantContext context) {
        SyntaxTree.Expression value = expression(context.expression());
        return value == null
                ? null
                : new SyntaxTree.Let(position(context), context.NAME().getText(), value);
    }

    private SyntaxTree.Block block(FleetParser.BlockContext context) {
        boolean hasParent = context.parent != null;
        return new SyntaxTree.Block(
                position(context),
                context.kind.getText(),
                label(context.name),
                hasParent ? label(context.parent) : null,
                hasParent ? position(context.parent) : null,
                settings(context.body()));
    }

    private List<SyntaxTree.Setting> settings(FleetParser.BodyContext body) {
        List<SyntaxTree.Setting> settings = new ArrayList<>();
        for (FleetParser.SettingContext context : body.setting()) {
            if (context.exception == null && context.key() != null) {
                settings.add(
                        new SyntaxTree.Setting(
                                position(context), context.key().getText(), values(context)));
            }
        }
        return settings;
    }

    private List<SyntaxTree.Value> values(FleetParser.SettingContext setting) {
        List<SyntaxTree.Value> values = new ArrayList<>();
        for (FleetParser.ValueContext context : setting.value()) {
            String text = context.STRING() == null ? null : unquote(context.STRING().getText());
            SyntaxTree.Expression expression =
                    context.expression() == null ? null : expression(context.expression());
            if (text != null || expression != null) {
                values.add(new SyntaxTree.Value(position(context), expression, text));
            }
        }
        return values;
    }

    private SyntaxTree.Expression expression(FleetParser.ExpressionContext context) {
        if (context instanceof FleetParser.QuantityContext quantity
                && quantity.QUANTITY() != null) {
            return new SyntaxTree.NumberLiteral(position(quantity), quantity.QUANTITY().getText());
        }
        if (context instanceof FleetParser.WordContext word && word.key() != null) {
            return new SyntaxTree.NameReference(position(word), word.key().getText());
        }
        if (context instanceof FleetParser.GroupContext group) {
            return expression(group.expression());
        }
        if (context instanceof FleetParser.MinusContext minus) {
            SyntaxTree.Expression operand = expression(minus.expression());
            return operand == null ? null : new SyntaxTree.Negation(position(minus), operand);
        }
        if (context instanceof FleetParser.ProductContext product) {
            return binary(position(product), product.op, product.left, product.right);
        }
        if (context instanceof FleetParser.SumContext sum) {
            return binary(position(sum), sum.op, sum.left, sum.right);
        }
        return null;
    }

    private SyntaxTree.Expression binary(
            Position position,
            Token operator,
            FleetParser.ExpressionContext leftContext,
            FleetParser.ExpressionContext rightContext) {
        SyntaxTree.Expression left = expression(leftContext);
        SyntaxTree.Expression right = expression(rightContext);
        boolean isComplete = left != null && right != null && operator != null;
        return isComplete
                ? new SyntaxTree.Binary(position, operator.getText().charAt(0), left, right)
                : null;
    }

    private static String label(FleetParser.LabelContext context) {
        return context.STRING() != null ? unquote(context.STRING().getText()) : context.getText();
    }

    private static String unquote(String text) {
        return text.length() < 2
                ? ""
                : text.substring(1, text.length() - 1).replaceAll("\\\\([\"\\\\])", "$1");
    }

    private Position position(ParserRuleContext context) {
        Token start = context.getStart();
        return new Position(file, start.getLine(), start.getCharPositionInLine() + 1);
    }
}
