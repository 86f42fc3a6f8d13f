package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import milletyoke.config.Quantity.Dimension;
import milletyoke.config.Quantity.QuantityFormatException;
import milletyoke.config.SyntaxTree.Setting;

/** Reads the values of one setting as its schema type wants them, and reports what does not fit. */
final class SettingReader {
    private final ConstantEvaluator constants;
    private final DiagnosticCollector diagnostics;

    SettingReader(ConstantEvaluator constants, DiagnosticCollector diagnostics) {
        this.constants = constants;
        this.diagnostics = diagnostics;
    }

    /** Each value a {@link Quantity} or text; null where one is invalid, which was reported. */
    List<Object> read(Setting setting, Schema.Type type) {
        if (setting.values().isEmpty()) {
            return null; // reported by the parser
        }
        if (setting.values().size() > 1 && !type.isList()) {
            diagnostics.error(
                    setting.values().get(1).at(), "type", setting.name() + " takes one value", "");
            return null;
        }
        List<Object> values = new ArrayList<>();
        for (SyntaxTree.Value value : setting.values()) {
            Object read =
                    type.dimension() != null
                            ? quantity(setting.name(), value, type)
                            : text(setting.name(), value, type);
            if (read == null) {
                return null;
            }
            values.add(read);
        }
        return List.copyOf(values);
    }

    private Quantity quantity(String name, SyntaxTree.Value value, Schema.Type type) {
        if (value.expression() == null) {
            diagnostics.error(
                    value.at(),
                    "type",
                    name + " takes " + type.dimension().description() + ", not text",
                    "as " + type.example(name));
            return null;
        }
        Quantity quantity;
        try {
            quantity = constants.evaluate(value.expression());
        } catch (QuantityFormatException invalid) {
            diagnostics.error(
                    value.expression().at(), invalid.code, invalid.getMessage(), invalid.hint);
            return null;
        }
        boolean isValid =
                hasDimension(name, value, quantity, type.dimension())
                        && isInRange(name, value, quantity, type);
        return isValid ? quantity : null;
    }

    private boolean hasDimension(
            String name, SyntaxTree.Value value, Quantity quantity, Dimension wanted) {
        if (quantity.dimension() == wanted) {
            return true;
        }
        String number = Quantity.formatNumber(writtenNumber(value, quantity));
        diagnostics.error(
                value.at(),
                "unit",
                name
                        + " takes "
                        + wanted.description()
                        + ", and "
                        + quantity
                        + " is "
                        + quantity.dimension().description(),
                "did you mean " + number + unit(wanted) + "?");
        return false;
    }

    private boolean isInRange(
            String name, SyntaxTree.Value value, Quantity quantity, Schema.Type type) {
        double number = quantity.value();
        if (!(number >= type.min() && number <= type.max())) {
            diagnostics.error(
                    value.at(),
                    "range",
                    name
                            + ": "
                            + quantity
                            + " is out of range, "
                            + new Quantity(type.min(), type.dimension())
                            + " to "
                            + new Quantity(type.max(), type.dimension())
                            + " is",
                    "");
            return false;
        }
        if (type.isInteger() && number != Math.rint(number)) {
            diagnostics.error(value.at(), "range", name + " takes a whole number", "");
            return false;
        }
        return true;
    }

    /** The number as it was written, so that the hint changes the unit alone. */
    private static double writtenNumber(SyntaxTree.Value value, Quantity quantity) {
        if (value.expression() instanceof SyntaxTree.NumberLiteral literal) {
            return Double.parseDouble(literal.text().replaceAll("[^0-9.].*$", ""));
        }
        return quantity.value();
    }

    private static String unit(Dimension dimension) {
        return dimension.example().replaceAll("^[0-9.]+", "");
    }

    private String text(String name, SyntaxTree.Value value, Schema.Type type) {
        String text = value.text();
        if (text == null && value.expression() instanceof SyntaxTree.NameReference reference) {
            text = reference.name();
        }
        List<String> keywords = type.keywords();
        if (text == null) {
            String wanted = keywords != null ? oneOf(keywords) : "a name";
            diagnostics.error(value.at(), "type", name + " takes " + wanted + ", not a figure", "");
            return null;
        }
        if (keywords != null && !keywords.contains(text)) {
            diagnostics.error(
                    value.at(),
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
