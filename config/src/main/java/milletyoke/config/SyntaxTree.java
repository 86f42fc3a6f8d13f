package milletyoke.config;

import java.util.List;

/** The syntax tree of one file, as parsed and before names and constants are resolved. */
final class SyntaxTree {
    private SyntaxTree() {}

    /** A position in a file; lines and columns count from 1. */
    record Position(String file, int line, int column) {}

    /** One file, without the statements that the parser could not complete. */
    record File(String name, List<Statement> statements) {}

    /** A top-level statement. */
    sealed interface Statement {
        Position position();
    }

    /** {@code include "pattern";}. */
    record Include(Position position, String pattern) implements Statement {}

    /** {@code let name = value;}. */
    record Let(Position position, String name, Expression value) implements Statement {}

    /**
     * A block of settings.
     *
     * @param name empty for a kind that has no named blocks
     * @param parent the block or template named by {@code like}; null if there is none
     */
    record Block(
            Position position,
            String kind,
            String name,
            String parent,
            Position parentPosition,
            List<Setting> settings)
            implements Statement {}

    /**
     * {@code route matchType pattern to pool;}.
     *
     * @param matchType {@code volume} or {@code prefix}
     */
    record Route(
            Position position, String matchType, String pattern, String pool, Position poolPosition)
            implements Statement {}

    /** A setting in a block. */
    record Setting(Position position, String name, List<Value> values) {}

    /** One value of a setting; exactly one of expression and text is set. */
    record Value(Position position, Expression expression, String text) {}

    /** An arithmetic expression or a single name. */
    sealed interface Expression {
        Position position();
    }

    /** A number with its unit, as written. */
    record NumberLiteral(Position position, String text) implements Expression {}

    /**
     * A name without quotes: a constant where a quantity is expected, else a keyword or the name of
     * a block.
     */
    record NameReference(Position position, String name) implements Expression {}

    /** A negated expression. */
    record Negation(Position position, Expression operand) implements Expression {}

    /**
     * A binary operation.
     *
     * @param operator one of {@code + - * /}
     */
    record Binary(Position position, char operator, Expression left, Expression right)
            implements Expression {}
}
