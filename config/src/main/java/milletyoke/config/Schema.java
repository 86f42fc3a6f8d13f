package milletyoke.config;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.config.Quantity.Dimension;

/**
 * Defines the settings of each kind of block: their types, ranges and defaults, and whether a
 * change needs a restart. Messages and listings use the order of kinds and settings defined here.
 */
final class Schema {
    private static final double MAX_TIME_MICROS = 100 * 3600e6;
    private static final int MAX_HOSTS = 100_000;
    private static final double MAX_UNITS = 1e9;
    private static final double MAX_WEIGHT = 1e6;

    private static final Type TIME = quantity(Dimension.TIME, 0, MAX_TIME_MICROS);
    private static final Type POSITIVE_TIME = quantity(Dimension.TIME, 1, MAX_TIME_MICROS);
    private static final Type SHARE = quantity(Dimension.SHARE, 0, 1);
    private static final Type RATE = quantity(Dimension.RATE, 0, MAX_UNITS);
    private static final Type UNITS = quantity(Dimension.UNITS, 0, MAX_UNITS);
    private static final Type FLAG = keyword("yes", "no");

    /** The fields by kind of block and name of setting. */
    static final Map<String, Map<String, Field>> KINDS = kinds();

    private Schema() {}

    /** How a running initiator applies a change of a setting. */
    enum Change {
        IN_SERVICE,
        RESTART
    }

    /**
     * The type of the values of a setting. At most one of dimension, keywords and referencedKind is
     * set; if none is, any text is allowed.
     *
     * @param min the smallest allowed value, in the base unit of the dimension
     * @param max the largest allowed value, in the base unit of the dimension
     * @param isInteger whether fractions are invalid
     * @param keywords the allowed keywords
     * @param referencedKind the kind of block that a value refers to by name
     * @param isList whether several values are allowed
     */
    record Type(
            Dimension dimension,
            double min,
            double max,
            boolean isInteger,
            List<String> keywords,
            String referencedKind,
            boolean isList) {

        /**
         * Returns an example of a setting of this type in the syntax of the language, for hints.
         */
        String example(String name) {
            return name + " " + exampleValue() + ";";
        }

        private String exampleValue() {
            if (dimension != null) {
                return dimension.example();
            }
            if (keywords != null) {
                return keywords.get(0);
            }
            return referencedKind != null ? "NAME" : "a, b";
        }
    }

    /**
     * One setting of a kind of block.
     *
     * @param defaultValue in the syntax of the language; null if the setting is required, empty if
     *     it is optional and has no default
     */
    record Field(Type type, String defaultValue, Change change) {
        boolean isRequired() {
            return defaultValue == null;
        }

        boolean hasDefault() {
            return defaultValue != null && !defaultValue.isEmpty();
        }
    }

    private static Type quantity(Dimension dimension, double min, double max) {
        return new Type(dimension, min, max, false, null, null, false);
    }

    private static Type number(double min, double max) {
        return quantity(Dimension.NONE, min, max);
    }

    private static Type integer(int min, int max) {
        return new Type(Dimension.NONE, min, max, true, null, null, false);
    }

    private static Type keyword(String... keywords) {
        return new Type(null, 0, 0, false, List.of(keywords), null, false);
    }

    private static Type reference(String kind) {
        return new Type(null, 0, 0, false, null, kind, false);
    }

    private static Type text(boolean isList) {
        return new Type(null, 0, 0, false, null, null, isList);
    }

    private static Field restart(Type type, String defaultValue) {
        return new Field(type, defaultValue, Change.RESTART);
    }

    private static Field inService(Type type, String defaultValue) {
        return new Field(type, defaultValue, Change.IN_SERVICE);
    }

    private static Field required(Type type, Change change) {
        return new Field(type, null, change);
    }

    private static Map<String, Map<String, Field>> kinds() {
        Map<String, Map<String, Field>> kinds = new LinkedHashMap<>();
        kinds.put("fleet", fleet());
        kinds.put("bounds", bounds());
        kinds.put("allowances", allowances());
        kinds.put("pool", pool());
        kinds.put("plan", plan());
        kinds.put("category", category());
        kinds.put("tenant", tenant());
        kinds.put("volume", volume());
        return Collections.unmodifiableMap(kinds);
    }

    private static Map<String, Field> fleet() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("initiators", required(integer(1, MAX_HOSTS), Change.RESTART));
        fields.put("list", restart(keyword("pushed", "asked"), "pushed"));
        return fields;
    }

    private static Map<String, Field> bounds() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("answer-slack", restart(TIME, "50ms"));
        fields.put("drain-grace", restart(TIME, "500ms"));
        fields.put("key-quiet", restart(TIME, "0ms"));
        fields.put("cold", restart(TIME, "0s"));
        fields.put("cold-share", restart(quantity(Dimension.SHARE, 0.001, 1), "100%"));
        fields.put("cold-bears", restart(UNITS, "0u"));
        fields.put("fall", restart(TIME, "0s"));
        fields.put("tip-multiple", restart(number(1, 1000), "1"));
        fields.put("relay-budget-free", restart(number(0, 1e6), "0"));
        fields.put("relay-budget-share", restart(SHARE, "0%"));
        fields.put("relay-budget-span", restart(TIME, "0s"));
        fields.put("must-ask-in", restart(TIME, "0s"));
        fields.put("largest", restart(UNITS, "8u"));
        return fields;
    }

    private static Map<String, Field> allowances() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("max-relays", restart(number(1, 100), "3"));
        fields.put("probes", restart(FLAG, "yes"));
        fields.put("cancels", restart(FLAG, "yes"));
        fields.put("advice", restart(FLAG, "yes"));
        fields.put("longest-advice", restart(TIME, "500ms"));
        return fields;
    }

    private static Map<String, Field> pool() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("targets", required(text(true), Change.IN_SERVICE));
        fields.put("capacity", inService(RATE, ""));
        return fields;
    }

    private static Map<String, Field> plan() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("reserve", inService(RATE, "0u/s"));
        fields.put("weight", inService(number(0.001, MAX_WEIGHT), "1"));
        fields.put("limit-rate", inService(RATE, "0u/s"));
        fields.put("limit-depth", inService(UNITS, "0u"));
        fields.put("limit-slack", inService(UNITS, "0u"));
        return fields;
    }

    private static Map<String, Field> category() {
        Map<String, Field> fields = new LinkedHashMap<>();
        Type repeats = keyword("harmless", "stamped", "one-shot");
        fields.put("repeats", required(repeats, Change.RESTART));
        fields.put("group", restart(keyword("all", "zone", "cell"), "all"));
        fields.put("repeat-window", restart(TIME, "0s"));
        fields.put("key-ordered", restart(FLAG, "no"));
        fields.put("agreed", required(POSITIVE_TIME, Change.IN_SERVICE));
        fields.put("importance", inService(number(0, MAX_WEIGHT), "1"));
        return fields;
    }

    private static Map<String, Field> tenant() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("contact", inService(text(false), ""));
        return fields;
    }

    private static Map<String, Field> volume() {
        Map<String, Field> fields = new LinkedHashMap<>();
        fields.put("plan", required(reference("plan"), Change.IN_SERVICE));
        fields.put("tenant", inService(reference("tenant"), ""));
        fields.put("hosts", restart(integer(1, MAX_HOSTS), "1"));
        return fields;
    }
}
