package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Quantity.Dimension;
import milletyoke.config.Quantity.QuantityFormatException;
import milletyoke.config.SyntaxTree.Setting;

/** Reads the values of a setting according to its schema type, and reports invalid values. */
final class SettingReader {
    private final ConstantEvaluator constants;
    private final DiagnosticCollector diagnostics;

    SettingReader(ConstantEvaluator constants, DiagnosticCollector diagnostics) {
        this.constants = constants;
        this.diagnostics = diagnostics;
    }

    /**
     * Returns the values, each a {@link Quantity} or text. Reports an error and returns null if one
     * of them is invalid.
     */
    List<Object> read(Setting setting, Schema.Type type) {
        if (setting.values().isEmpty()) {
            return null; // reported by the parser
        }
        if (setting.values().size() > 1 && !type.isList()) {
            diagnostics.error(
                    setting.values().get(1).position(),
                    "type",
                    setting.name() + " takes one value",
                    "");
            return null;
        }
        List<Object> values = new ArrayList<>();
        for (SyntaxTree.Value value : setting.values()) {
            Object read =
                    type.dimension() != null
                            ? readQuantity(setting.name(), value, type)
                            : readText(setting.name(), value, type);
            if (read == null) {
                return null;
            }
            values.add(read);
        }
        return List.copyOf(values);
    }

    private Quantity readQuantity(String name, SyntaxTree.Value value, Schema.Type type) {
        if (value.expression() == null) {
            diagnostics.error(
                    value.position(),
                    "type",
                    name + " takes " + type.dimension().description() + ", not text",
                    "for example " + type.example(name));
            return null;
        }
        Quantity quantity;
        try {
            quantity = constants.evaluate(value.expression());
        } catch (QuantityFormatException invalid) {
            diagnostics.error(
                    value.expression().position(),
                    invalid.code,
                    invalid.getMessage(),
                    invalid.hint);
            return null;
        }
        boolean isValid =
                checkDimension(name, value, quantity, type.dimension())
                        && checkRange(name, value, quantity, type);
        return isValid ? quantity : null;
    }

    private boolean checkDimension(
            String name, SyntaxTree.Value value, Quantity quantity, Dimension expected) {
        if (quantity.dimension() == expected) {
            return true;
        }
        String number = Quantity.formatNumber(writtenNumber(value, quantity));
        diagnostics.error(
                value.position(),
                "unit",
                name
                        + " takes "
                        + expected.description()
                        + ", but "
                        + quantity
                        + " is "
                        + quantity.dimension().description(),
                "did you mean " + number + unitOf(expected) + "?");
        return false;
    }

    private boolean checkRange(
            String name, SyntaxTree.Value value, Quantity quantity, Schema.Type type) {
        double number = quantity.value();
        if (!(number >= type.min() && number <= type.max())) {
            diagnostics.error(
                    value.position(),
                    "range",
                    name
                            + ": "
                            + quantity
                            + " is out of range (allowed: "
                            + new Quantity(type.min(), type.dimension())
                            + " to "
                            + new Quantity(type.max(), type.dimension())
                            + ")",
                    "");
            return false;
        }
        if (type.isInteger() && number != Math.rint(number)) {
            diagnostics.error(value.position(), "range", name + " takes an integer", "");
            return false;
        }
        return true;
    }

    /** Returns the number as written, so that the hint differs from the input only in the unit. */
    private static double writtenNumber(SyntaxTree.Value value, Quantity quantity) {
        if (value.expression() instanceof SyntaxTree.NumberLiteral literal) {
            return Double.parseDouble(literal.text().replaceAll("[^0-9.].*$", ""));
        }
        return quantity.value();
    }

    private static String unitOf(Dimension dimension) {
        return dimension.example().replaceAll("^[0-9.]+", "");
    }

    private String readText(String name, SyntaxTree.Value value, Schema.Type type) {
        String text = value.text();
        if (text == null && value.expression() instanceof SyntaxTree.NameReference reference) {
            text = reference.name();
        }
        List<String> keywords = type.keywords();
        if (text == null) {
            String expected = keywords != null ? oneOf(keywords) : "a name";
            diagnostics.error(
                    value.position(), "type", name + " takes " + expected + ", not a number", "");
            return null;
        }
        if (keywords != null && !keywords.contains(text)) {
            diagnostics.error(
                    value.position(),
                    "type",
                    name + " takes " + oneOf(keywords) + ", not " + text,
                    "did you mean " + NameSuggestions.nearest(text, keywords) + "?");
            return null;
        }
        return text;
    }

    private static String oneOf(List<String> keywords) {
        return "one of " + String.join(", ", keywords);
    }
}
