package milletyoke.config;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A number with its dimension.
 *
 * @param value in the base unit of the dimension: microseconds, units, units a second, bytes, or
 *     parts of one
 */
public record Quantity(double value, Dimension dimension) {
    /** What a quantity measures. */
    public enum Dimension {
        TIME("a time", "250ms"),
        UNITS("units", "36u"),
        RATE("units a second", "40u/s"),
        BYTES("bytes", "4MiB"),
        SHARE("a share", "29%"),
        NONE("a bare number", "3");

        private final String description;
        private final String example;

        Dimension(String description, String example) {
            this.description = description;
            this.example = example;
        }

        /** The dimension as messages name it. */
        public String description() {
            return description;
        }

        /** A quantity as it could be written, for hints. */
        public String example() {
            return example;
        }
    }

    /** Largest value in base units; a larger one is taken for a mistake. */
    static final double MAX_VALUE = 1e15;

    /** A unit that is accepted and never written. */
    private static final String PARSED_ONLY = "u/min";

    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * A unit of measure.
     *
     * @param factor to the base unit
     */
    private record Unit(Dimension dimension, double factor) {}

    private static final Map<String, Unit> UNITS = units();

    private static Map<String, Unit> units() {
        Map<String, Unit> all = new LinkedHashMap<>();
        all.put("us", new Unit(Dimension.TIME, 1));
        all.put("ms", new Unit(Dimension.TIME, 1e3));
        all.put("s", new Unit(Dimension.TIME, 1e6));
        all.put("min", new Unit(Dimension.TIME, 60e6));
        all.put("h", new Unit(Dimension.TIME, 3600e6));
        all.put("u", new Unit(Dimension.UNITS, 1));
        all.put("ku", new Unit(Dimension.UNITS, 1e3));
        all.put("u/s", new Unit(Dimension.RATE, 1));
        all.put("ku/s", new Unit(Dimension.RATE, 1e3));
        all.put("u/min", new Unit(Dimension.RATE, 1 / 60.0));
        all.put("B", new Unit(Dimension.BYTES, 1));
        all.put("KiB", new Unit(Dimension.BYTES, 1024));
        all.put("MiB", new Unit(Dimension.BYTES, 1 << 20));
        all.put("GiB", new Unit(Dimension.BYTES, 1 << 30));
        all.put("%", new Unit(Dimension.SHARE, 0.01));
        all.put("", new Unit(Dimension.NONE, 1));
        return all;
    }

    /** An invalid quantity or operation; code, message and hint go into a diagnostic. */
    static final class QuantityFormatException extends Exception {
        private static final long serialVersionUID = 1L;
        final String code;
        final String hint;

        QuantityFormatException(String code, String message, String hint) {
            super(message);
            this.code = code;
            this.hint = hint;
        }
    }

    /** Parses a number with its unit. */
    static Quantity of(String text) throws QuantityFormatException {
        int end = 0;
        while (end < text.length()
                && (Character.isDigit(text.charAt(end)) || text.charAt(end) == '.')) {
            end++;
        }
        String name = text.substring(end);
        Unit unit = UNITS.get(name);
        if (unit == null) {
            throw new QuantityFormatException(
                    "unit",
                    "\"" + name + "\" is no unit",
                    "did you mean "
                            + NameSuggestions.nearest(name, UNITS.keySet())
                            + "? Known are us, ms, s, min, h; u, ku; u/s, ku/s, u/min; B, KiB, MiB, GiB; %");
        }
        return checked(
                Double.parseDouble(text.substring(0, end)) * unit.factor(), unit.dimension());
    }

    private static Quantity checked(double figure, Dimension dimension)
            throws QuantityFormatException {
        if (!(Math.abs(figure) <= MAX_VALUE)) {
            throw new QuantityFormatException(
                    "range",
                    "a figure over " + formatNumber(MAX_VALUE) + " in base units",
                    "no such figure has a meaning here");
        }
        return new Quantity(figure, dimension);
    }

    /** Adds, or with a sign of -1 subtracts, a quantity of the same dimension. */
    Quantity plus(Quantity other, int sign) throws QuantityFormatException {
        if (dimension != other.dimension) {
            throw new QuantityFormatException(
                    "unit",
                    dimension.description()
                            + " and "
                            + other.dimension.description()
                            + " cannot be added",
                    "");
        }
        return checked(value + sign * other.value, dimension);
    }

    /** Multiplies; at most one factor may have a dimension, or they are a rate and a time. */
    Quantity times(Quantity other) throws QuantityFormatException {
        if (dimension == Dimension.NONE || other.dimension == Dimension.NONE) {
            return checked(
                    value * other.value, dimension == Dimension.NONE ? other.dimension : dimension);
        }
        if (dimension == Dimension.SHARE || other.dimension == Dimension.SHARE) {
            return checked(
                    value * other.value,
                    dimension == Dimension.SHARE ? other.dimension : dimension);
        }
        boolean isRateTimesTime = dimension == Dimension.RATE && other.dimension == Dimension.TIME;
        boolean isTimesRate = dimension == Dimension.TIME && other.dimension == Dimension.RATE;
        if (isRateTimesTime || isTimesRate) {
            return checked(value * other.value / MICROS_PER_SECOND, Dimension.UNITS);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " times "
                        + other.dimension.description()
                        + " is nothing known here",
                "");
    }

    /** Divides; by a bare number, by the same dimension, or units by a time or rate. */
    Quantity dividedBy(Quantity other) throws QuantityFormatException {
        if (other.value == 0) {
            throw new QuantityFormatException("range", "a division by 0", "");
        }
        if (other.dimension == Dimension.NONE) {
            return checked(value / other.value, dimension);
        }
        if (dimension == other.dimension) {
            return checked(value / other.value, Dimension.NONE);
        }
        if (dimension == Dimension.UNITS && other.dimension == Dimension.TIME) {
            return checked(value / (other.value / MICROS_PER_SECOND), Dimension.RATE);
        }
        if (dimension == Dimension.UNITS && other.dimension == Dimension.RATE) {
            return checked(value / other.value * MICROS_PER_SECOND, Dimension.TIME);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " over "
                        + other.dimension.description()
                        + " is nothing known here",
                "");
    }

    /** As an operator would write it: in the largest unit that gives a short and exact number. */
    @Override
    public String toString() {
        if (value == 0 && dimension != Dimension.NONE) {
            return "0" + smallestUnit();
        }
        String best = null;
        for (Map.Entry<String, Unit> entry : UNITS.entrySet()) {
            Unit unit = entry.getValue();
            if (unit.dimension() != dimension || entry.getKey().equals(PARSED_ONLY)) {
                continue;
            }
            String number = formatNumber(value / unit.factor());
            String text = number + entry.getKey();
            boolean isExact = Double.parseDouble(number) * unit.factor() == value;
            if (best == null || (isExact && text.length() <= best.length())) {
                best = text;
            }
        }
        return best;
    }

    private String smallestUnit() {
        return UNITS.entrySet().stream()
                .filter(unit -> unit.getValue().dimension() == dimension)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    /** A number without an exponent or needless digits. */
    static String formatNumber(double figure) {
        if (figure == Math.rint(figure) && Math.abs(figure) <= MAX_VALUE) {
            return Long.toString((long) figure);
        }
        String text = new BigDecimal(Double.toString(figure)).stripTrailingZeros().toPlainString();
        return text.toLowerCase(Locale.ROOT);
    }
}
