package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import milletyoke.config.Quantity.Dimension;

/**
 * Which settings each kind of block takes, of which type, within which bounds, and how a change of
 * each is taken.
 */
final class Schema {
    /** How a change is taken by a running initiator. */
    enum Change {
        IN_SERVICE,
        RESTART
    }

    /** Exactly one of dimension, words and names is set. */
    record Type(
            Dimension dimension,
            double min,
            double max,
            List<String> keywords,
            String referencedKind,
            boolean isList,
            boolean free) {}

    /**
     * @param defaultValue as it would be written; null where it must be there, empty where it may
     *     be absent
     */
    record Field(Type type, String defaultValue, Change change) {}

    static final Map<String, Map<String, Field>> KINDS = kinds();

    private Schema() {}

    private static Type figure(Dimension d, double least, double most) {
        return new Type(d, least, most, null, null, false, false);
    }

    private static Type word(String... words) {
        return new Type(null, 0, 0, List.of(words), null, false, false);
    }

    private static Type name(String kind) {
        return new Type(null, 0, 0, null, kind, false, false);
    }

    private static Type free(boolean list) {
        return new Type(null, 0, 0, null, null, list, true);
    }

    private static Map<String, Map<String, Field>> kinds() {
        Map<String, Map<String, Field>> all = new LinkedHashMap<>();
        Type time = figure(Dimension.TIME, 0, 100 * 3600e6);
        Type share = figure(Dimension.SHARE, 0, 1);
        Type rate = figure(Dimension.RATE, 0, 1e9);
        Type units = figure(Dimension.UNITS, 0, 1e9);
        Type flag = word("yes", "no");
        all.put(
                "fleet",
                fields(
                        "initiators",
                        new Field(figure(Dimension.NONE, 1, 100_000), null, Change.RESTART),
                        "list",
                        new Field(word("pushed", "asked"), "pushed", Change.RESTART)));
        Map<String, Field> bounds = new LinkedHashMap<>();
        bounds.put("answer-slack", new Field(time, "50ms", Change.RESTART));
        bounds.put("drain-grace", new Field(time, "500ms", Change.RESTART));
        bounds.put("key-quiet", new Field(time, "0ms", Change.RESTART));
        bounds.put("cold", new Field(time, "0s", Change.RESTART));
        bounds.put(
                "cold-share", new Field(figure(Dimension.SHARE, 0.001, 1), "100%", Change.RESTART));
        bounds.put("cold-bears", new Field(units, "0u", Change.RESTART));
        bounds.put("fall", new Field(time, "0s", Change.RESTART));
        bounds.put("tip-multiple", new Field(figure(Dimension.NONE, 1, 1000), "1", Change.RESTART));
        bounds.put(
                "relay-budget-free",
                new Field(figure(Dimension.NONE, 0, 1e6), "0", Change.RESTART));
        bounds.put("relay-budget-share", new Field(share, "0%", Change.RESTART));
        bounds.put("relay-budget-span", new Field(time, "0s", Change.RESTART));
        bounds.put("must-ask-in", new Field(time, "0s", Change.RESTART));
        bounds.put("largest", new Field(units, "8u", Change.RESTART));
        all.put("bounds", bounds);
        all.put(
                "allowances",
                fields(
                        "max-relays",
                        new Field(figure(Dimension.NONE, 1, 100), "3", Change.RESTART),
                        "probes",
                        new Field(flag, "yes", Change.RESTART),
                        "cancels",
                        new Field(flag, "yes", Change.RESTART),
                        "advice",
                        new Field(flag, "yes", Change.RESTART),
                        "longest-advice",
                        new Field(time, "500ms", Change.RESTART)));
        all.put(
                "pool",
                fields(
                        "targets",
                        new Field(free(true), null, Change.IN_SERVICE),
                        "capacity",
                        new Field(rate, "", Change.IN_SERVICE)));
        all.put(
                "plan",
                fields(
                        "reserve",
                        new Field(rate, "0u/s", Change.IN_SERVICE),
                        "weight",
                        new Field(figure(Dimension.NONE, 0.001, 1e6), "1", Change.IN_SERVICE),
                        "limit-rate",
                        new Field(rate, "0u/s", Change.IN_SERVICE),
                        "limit-depth",
                        new Field(units, "0u", Change.IN_SERVICE),
                        "limit-slack",
                        new Field(units, "0u", Change.IN_SERVICE)));
        all.put(
                "category",
                fields(
                        "repeats",
                        new Field(word("harmless", "stamped", "one-shot"), null, Change.RESTART),
                        "group",
                        new Field(word("all", "zone", "cell"), "all", Change.RESTART),
                        "repeat-window",
                        new Field(time, "0s", Change.RESTART),
                        "key-ordered",
                        new Field(flag, "no", Change.RESTART),
                        "agreed",
                        new Field(figure(Dimension.TIME, 1, 100 * 3600e6), null, Change.IN_SERVICE),
                        "importance",
                        new Field(figure(Dimension.NONE, 0, 1e6), "1", Change.IN_SERVICE)));
        all.put("tenant", fields("contact", new Field(free(false), "", Change.IN_SERVICE)));
        all.put(
                "volume",
                fields(
                        "plan",
                        new Field(name("plan"), null, Change.IN_SERVICE),
                        "tenant",
                        new Field(name("tenant"), "", Change.IN_SERVICE),
                        "hosts",
                        new Field(figure(Dimension.NONE, 1, 100_000), "1", Change.RESTART)));
        return java.util.Collections.unmodifiableMap(all);
    }

    private static Map<String, Field> fields(Object... pairs) {
        Map<String, Field> all = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            all.put((String) pairs[i], (Field) pairs[i + 1]);
        }
        return all;
    }
}
