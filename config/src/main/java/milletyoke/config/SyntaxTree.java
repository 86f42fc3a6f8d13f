package milletyoke.config;

import java.util.List;

/** The syntax of one file, after parsing and before any meaning. */
final class SyntaxTree {
    private SyntaxTree() {}

    /** A place in a file; lines and columns count from 1. */
    record Position(String file, int line, int column) {}

    /** One file; statements that the parser could not finish are left out. */
    record File(String name, List<Statement> statements) {}

    /** A top-level statement. */
    sealed interface Statement {
        Position at();
    }

    /** {@code include "pattern";}. */
    record Include(Position at, String pattern) implements Statement {}

    /** {@code let name = value;}. */
    record Let(Position at, String name, Expression value) implements Statement {}

    /**
     * A block of settings.
     *
     * @param name empty for a kind that stands once
     * @param parent the block or template that it is like; null for none
     */
    record Block(
            Position at,
            String kind,
            String name,
            String parent,
            Position parentAt,
            List<Setting> settings)
            implements Statement {}

    /**
     * {@code route what pattern to pool;}.
     *
     * @param what volume or prefix
     */
    record Route(Position at, String what, String pattern, String pool, Position poolAt)
            implements Statement {}

    /** A setting in a block. */
    record Setting(Position at, String name, List<Value> values) {}

    /** One value of a setting; exactly one of expression and text is set. */
    record Value(Position at, Expression expression, String text) {}

    /** A value that is computed, or a bare name. */
    sealed interface Expression {
        Position at();
    }

    /** A number with its unit, as written. */
    record NumberLiteral(Position at, String text) implements Expression {}

    /** A bare name: a constant where a quantity is expected, else a keyword or a block's name. */
    record NameReference(Position at, String name) implements Expression {}

    /** An expression with its sign changed. */
    record Negation(Position at, Expression operand) implements Expression {}

    /**
     * Two expressions and an operator.
     *
     * @param operator one of {@code + - * /}
     */
    record Binary(Position at, char operator, Expression left, Expression right)
            implements Expression {}
}
