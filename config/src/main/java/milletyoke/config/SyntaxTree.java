package milletyoke.config;

import java.util.List;

/** One file as it stands, after parsing and before any meaning. */
final class SyntaxTree {
    private SyntaxTree() {}

    /** Where something stands. */
    record At(String file, int line, int column) {}

    record File(String name, List<Statement> statements) {}

    sealed interface Statement {
        At at();
    }

    record Include(At at, String pattern) implements Statement {}

    record Let(At at, String name, Expression value) implements Statement {}

    /** A block; {@code parent} null where it is like none. */
    record Block(
            At at, String kind, String name, String parent, At parentAt, List<Setting> settings)
            implements Statement {}

    record Route(At at, String what, String pattern, String pool, At poolAt) implements Statement {}

    record Setting(At at, String name, List<Value> values) {}

    /** Exactly one of expression and text is set. */
    record Value(At at, Expression expression, String text) {}

    sealed interface Expression {
        At at();
    }

    record Figure(At at, String text) implements Expression {}

    record Word(At at, String name) implements Expression {}

    record Minus(At at, Expression of) implements Expression {}

    record Binary(At at, char op, Expression left, Expression right) implements Expression {}
}
