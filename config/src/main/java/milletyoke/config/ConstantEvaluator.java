package milletyoke.config;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import milletyoke.config.Quantity.QuantityFormatException;

/** Evaluates expressions over the configuration's named constants. */
final class ConstantEvaluator {
    private final Map<String, SyntaxTree.Let> definitions;
    private final Map<String, Quantity> values = new HashMap<>();

    /** The constants that are being cached; each is used by the one before it. */
    private final Set<String> evaluating = new LinkedHashSet<>();

    ConstantEvaluator(Map<String, SyntaxTree.Let> definitions) {
        this.definitions = definitions;
    }

    /** Evaluates all constants, used or not, and reports those that cannot be cached. */
    void checkAll(DiagnosticCollector diagnostics) {
        for (SyntaxTree.Let definition : definitions.values()) {
            try {
                constant(definition.name());
            } catch (QuantityFormatException invalid) {
                diagnostics.error(
                        definition.value().position(),
                        invalid.code,
                        invalid.getMessage(),
                        invalid.hint);
            }
        }
    }

    /**
     * Returns the value of an expression.
     *
     * @throws QuantityFormatException if a unit, a name or an operation is invalid
     */
    Quantity evaluate(SyntaxTree.Expression expression) throws QuantityFormatException {
        if (expression instanceof SyntaxTree.NumberLiteral literal) {
            return Quantity.parse(literal.text());
        }
        if (expression instanceof SyntaxTree.NameReference reference) {
            return constant(reference.name());
        }
        if (expression instanceof SyntaxTree.Negation negation) {
            Quantity operand = evaluate(negation.operand());
            return new Quantity(-operand.value(), operand.dimension());
        }
        SyntaxTree.Binary binary = (SyntaxTree.Binary) expression;
        Quantity left = evaluate(binary.left());
        Quantity right = evaluate(binary.right());
        return switch (binary.operator()) {
            case '*' -> left.times(right);
            case '/' -> left.dividedBy(right);
            case '+' -> left.plus(right, 1);
            default -> left.plus(right, -1);
        };
    }

    private Quantity constant(String name) throws QuantityFormatException {
        Quantity cached = values.get(name);
        if (cached != null) {
            return cached;
        }
        SyntaxTree.Let definition = definitions.get(name);
        if (definition == null) {
            throw unknownConstant(name);
        }
        if (!evaluating.add(name) || evaluating.size() > FleetReader.MAX_DEPTH) {
            throw new QuantityFormatException(
                    "cycle",
                    "constant "
                            + name
                            + " depends on itself, or on a chain of more than "
                            + FleetReader.MAX_DEPTH
                            + " constants: "
                            + String.join(", ", evaluating),
                    "");
        }
        try {
            Quantity value = evaluate(definition.value());
            values.put(name, value);
            return value;
        } finally {
            evaluating.remove(name);
        }
    }

    private QuantityFormatException unknownConstant(String name) {
        String hint =
                definitions.isEmpty()
                        ? ""
                        : "did you mean "
                                + NameSuggestions.nearest(name, definitions.keySet())
                                + "?";
        return new QuantityFormatException("name", "no constant is named " + name, hint);
    }
}
