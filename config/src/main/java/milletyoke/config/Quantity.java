package milletyoke.config;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A number with its dimension.
 *
 * @param value in the base unit of the dimension: microseconds, units of work, units per second,
 *     bytes, or a fraction of 1
 */
public record Quantity(double value, Dimension dimension) {
    /** What a quantity measures. */
    public enum Dimension {
        TIME("a duration", "250ms"),
        UNITS("units", "36u"),
        RATE("units per second", "40u/s"),
        BYTES("bytes", "4MiB"),
        SHARE("a percentage", "29%"),
        NONE("a number without a unit", "3");

        private final String description;
        private final String example;

        Dimension(String description, String example) {
            this.description = description;
            this.example = example;
        }

        /** Returns the name of the dimension in messages. */
        public String description() {
            return description;
        }

        /** Returns an example of a quantity in the syntax of the language, for hints. */
        public String example() {
            return example;
        }
    }

    /** The largest absolute value in base units; a larger one is considered a mistake. */
    static final double MAX_VALUE = 1e15;

    /** A unit that is accepted as input and never used for output. */
    private static final String INPUT_ONLY_UNIT = "u/min";

    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * A unit of measure.
     *
     * @param factor how many base units one of this unit is
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

    /** Thrown for an invalid quantity or operation; contains the texts of the diagnostic. */
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
    static Quantity parse(String text) throws QuantityFormatException {
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
                    "\"" + name + "\" is not a unit",
                    "did you mean "
                            + NameSuggestions.nearest(name, UNITS.keySet())
                            + "? Known units: us, ms, s, min, h; u, ku; u/s, ku/s, u/min; B, KiB, MiB, GiB; %");
        }
        return createInRange(
                Double.parseDouble(text.substring(0, end)) * unit.factor(), unit.dimension());
    }

    private static Quantity createInRange(double value, Dimension dimension)
            throws QuantityFormatException {
        if (!(Math.abs(value) <= MAX_VALUE)) {
            throw new QuantityFormatException(
                    "range",
                    "absolute value is more than " + formatNumber(MAX_VALUE) + " in base units",
                    "no setting takes so large a value");
        }
        return new Quantity(value, dimension);
    }

    /** Adds a quantity of the same dimension, or subtracts it if the sign is -1. */
    Quantity plus(Quantity other, int sign) throws QuantityFormatException {
        if (dimension != other.dimension) {
            throw new QuantityFormatException(
                    "unit",
                    dimension.description()
                            + " and "
                            + other.dimension.description()
                            + " cannot be added or subtracted",
                    "");
        }
        return createInRange(value + sign * other.value, dimension);
    }

    /**
     * Multiplies by a quantity. At least one factor must be a number without a unit or a
     * percentage, or the factors must be a rate and a duration.
     */
    Quantity times(Quantity other) throws QuantityFormatException {
        if (dimension == Dimension.NONE || other.dimension == Dimension.NONE) {
            return createInRange(
                    value * other.value, dimension == Dimension.NONE ? other.dimension : dimension);
        }
        if (dimension == Dimension.SHARE || other.dimension == Dimension.SHARE) {
            return createInRange(
                    value * other.value,
                    dimension == Dimension.SHARE ? other.dimension : dimension);
        }
        boolean isRateTimesTime = dimension == Dimension.RATE && other.dimension == Dimension.TIME;
        boolean isTimeTimesRate = dimension == Dimension.TIME && other.dimension == Dimension.RATE;
        if (isRateTimesTime || isTimeTimesRate) {
            return createInRange(value * other.value / MICROS_PER_SECOND, Dimension.UNITS);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " times "
                        + other.dimension.description()
                        + " is not a supported operation",
                "");
    }

    /**
     * Divides by a number without a unit or a quantity of the same dimension; units also by a
     * duration or a rate.
     */
    Quantity dividedBy(Quantity other) throws QuantityFormatException {
        if (other.value == 0) {
            throw new QuantityFormatException("range", "division by zero", "");
        }
        if (other.dimension == Dimension.NONE) {
            return createInRange(value / other.value, dimension);
        }
        if (dimension == other.dimension) {
            return createInRange(value / other.value, Dimension.NONE);
        }
        if (dimension == Dimension.UNITS && other.dimension == Dimension.TIME) {
            return createInRange(value / (other.value / MICROS_PER_SECOND), Dimension.RATE);
        }
        if (dimension == Dimension.UNITS && other.dimension == Dimension.RATE) {
            return createInRange(value / other.value * MICROS_PER_SECOND, Dimension.TIME);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " divided by "
                        + other.dimension.description()
                        + " is not a supported operation",
                "");
    }

    /**
     * Formats the quantity in the syntax of the language, in the unit that gives the shortest exact
     * text; of equally short ones the largest unit.
     */
    @Override
    public String toString() {
        if (value == 0 && dimension != Dimension.NONE) {
            return "0" + smallestUnit();
        }
        String best = null;
        for (Map.Entry<String, Unit> entry : UNITS.entrySet()) {
            Unit unit = entry.getValue();
            if (unit.dimension() != dimension || entry.getKey().equals(INPUT_ONLY_UNIT)) {
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

    /** Formats a number without exponent and trailing zeros. */
    static String formatNumber(double number) {
        if (number == Math.rint(number) && Math.abs(number) <= MAX_VALUE) {
            return Long.toString((long) number);
        }
        String text = new BigDecimal(Double.toString(number)).stripTrailingZeros().toPlainString();
        return text.toLowerCase(Locale.ROOT);
    }
}
