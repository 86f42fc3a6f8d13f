package milletyoke.config;

import java.util.List;

/** One file as it stands, after parsing and before any meaning. */
final class SyntaxTree {
    private SyntaxTree() {}

    /** Where something stands. */
    record Position(String file, int line, int column) {}

    record File(String name, List<Statement> statements) {}

    sealed interface Statement {
        Position at();
    }

    record Include(Position at, String pattern) implements Statement {}

    record Let(Position at, String name, Expression value) implements Statement {}

    /** A block; {@code parent} null where it is like none. */
    record Block(
            Position at,
            String kind,
            String name,
            String parent,
            Position parentAt,
            List<Setting> settings)
            implements Statement {}

    record Route(Position at, String what, String pattern, String pool, Position poolAt)
            implements Statement {}

    record Setting(Position at, String name, List<Value> values) {}

    /** Exactly one of expression and text is set. */
    record Value(Position at, Expression expression, String text) {}

    sealed interface Expression {
        Position at();
    }

    record NumberLiteral(Position at, String text) implements Expression {}

    record NameReference(Position at, String name) implements Expression {}

    record Negation(Position at, Expression operand) implements Expression {}

    record Binary(Position at, char operator, Expression left, Expression right)
            implements Expression {}
}
