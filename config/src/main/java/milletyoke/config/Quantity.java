package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A figure with its dimension, in base units: microseconds, units, units a second, bytes, parts of
 * one, or none.
 */
public record Quantity(double value, Dimension dimension) {
    /** What a figure measures. */
    public enum Dimension {
        TIME("a time", "250ms"),
        UNITS("units", "36u"),
        RATE("units a second", "40u/s"),
        BYTES("bytes", "4MiB"),
        SHARE("a share", "29%"),
        NONE("a bare number", "3");

        private final String description;
        private final String example;

        Dimension(String words, String example) {
            this.description = words;
            this.example = example;
        }

        public String description() {
            return description;
        }

        public String example() {
            return example;
        }
    }

    /** No figure of a configuration is larger; what is beyond is a slip. */
    static final double MAX_VALUE = 1e15;

    private record Unit(Dimension dimension, double base) {}

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

    /** What cannot be; the message is for people. */
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
        return checked(Double.parseDouble(text.substring(0, end)) * unit.base(), unit.dimension());
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

    Quantity plus(Quantity o, int sign) throws QuantityFormatException {
        if (dimension != o.dimension) {
            throw new QuantityFormatException(
                    "unit",
                    dimension.description()
                            + " and "
                            + o.dimension.description()
                            + " cannot be added",
                    "");
        }
        return checked(value + sign * o.value, dimension);
    }

    Quantity times(Quantity o) throws QuantityFormatException {
        if (dimension == Dimension.NONE || o.dimension == Dimension.NONE) {
            return checked(value * o.value, dimension == Dimension.NONE ? o.dimension : dimension);
        }
        if (dimension == Dimension.SHARE || o.dimension == Dimension.SHARE) {
            return checked(value * o.value, dimension == Dimension.SHARE ? o.dimension : dimension);
        }
        if (dimension == Dimension.RATE && o.dimension == Dimension.TIME
                || dimension == Dimension.TIME && o.dimension == Dimension.RATE) {
            return checked(value * o.value / 1e6, Dimension.UNITS);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " times "
                        + o.dimension.description()
                        + " is nothing known here",
                "");
    }

    Quantity dividedBy(Quantity o) throws QuantityFormatException {
        if (o.value == 0) {
            throw new QuantityFormatException("range", "a division by 0", "");
        }
        if (o.dimension == Dimension.NONE) {
            return checked(value / o.value, dimension);
        }
        if (dimension == o.dimension) {
            return checked(value / o.value, Dimension.NONE);
        }
        if (dimension == Dimension.UNITS && o.dimension == Dimension.TIME) {
            return checked(value / (o.value / 1e6), Dimension.RATE);
        }
        if (dimension == Dimension.UNITS && o.dimension == Dimension.RATE) {
            return checked(value / o.value * 1e6, Dimension.TIME);
        }
        throw new QuantityFormatException(
                "unit",
                dimension.description()
                        + " over "
                        + o.dimension.description()
                        + " is nothing known here",
                "");
    }

    /** As an operator would write it: the largest unit that gives a short figure. */
    @Override
    public String toString() {
        if (value == 0 && dimension != Dimension.NONE) {
            return "0" + smallest();
        }
        String best = null;
        for (Map.Entry<String, Unit> u : UNITS.entrySet()) {
            if (u.getValue().dimension() == dimension && !u.getKey().equals("u/min")) {
                String text = formatNumber(value / u.getValue().base()) + u.getKey();
                boolean exact =
                        Double.parseDouble(formatNumber(value / u.getValue().base()))
                                        * u.getValue().base()
                                == value;
                if (best == null || exact && text.length() <= best.length()) {
                    best = text;
                }
            }
        }
        return best;
    }

    private String smallest() {
        return UNITS.entrySet().stream()
                .filter(u -> u.getValue().dimension() == dimension)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    static String formatNumber(double figure) {
        if (figure == Math.rint(figure) && Math.abs(figure) <= MAX_VALUE) {
            return Long.toString((long) figure);
        }
        String text =
                new java.math.BigDecimal(Double.toString(figure))
                        .stripTrailingZeros()
                        .toPlainString();
        return text.toLowerCase(Locale.ROOT);
    }
}
