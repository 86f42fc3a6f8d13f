package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.stream.Collectors;

/**
 * What a configuration means: includes, constants and templates are resolved, and defaults are
 * filled in. Two configurations mean the same if and only if their fleets are equal. Immutable.
 *
 * @param blocks by kind and name, with a blank between
 * @param routes in the order in which they are tried
 */
public record Fleet(SortedMap<String, Block> blocks, List<Route> routes) {
    private static final String WILDCARD = "*";

    /**
     * One block with all its settings.
     *
     * @param name empty for a kind that stands once
     * @param settings each value is a {@link Quantity} or text
     */
    public record Block(String kind, String name, SortedMap<String, List<Object>> settings) {
        /** A quantity in its base unit; 0 where the setting is absent. */
        public double number(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? 0 : ((Quantity) values.get(0)).value();
        }

        /** A text; empty where the setting is absent. */
        public String text(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? "" : (String) values.get(0);
        }

        /** Whether a setting is {@code yes}. */
        public boolean flag(String setting) {
            return text(setting).equals("yes");
        }
    }

    /**
     * Sends what matches a pattern to a pool.
     *
     * @param what volume or prefix
     */
    public record Route(String what, String pattern, String pool) {
        private boolean matches(String name) {
            if (pattern.endsWith(WILDCARD)) {
                return name.startsWith(pattern.substring(0, pattern.length() - 1));
            }
            return what.equals("prefix") ? name.startsWith(pattern) : name.equals(pattern);
        }
    }

    /** All blocks of a kind in the order of their names. */
    public List<Block> blocksOfKind(String kind) {
        return blocks.values().stream().filter(block -> block.kind().equals(kind)).toList();
    }

    /** The block of a kind that stands once; with the defaults where it was left out. */
    public Block single(String kind) {
        return block(kind, "");
    }

    /** The block of that kind and name; null for none. */
    public Block block(String kind, String name) {
        return blocks.get(Declarations.key(kind, name));
    }

    /** The block that applies to a volume: its own, else the longest pattern; null for none. */
    public Block volume(String name) {
        Block own = block("volume", name);
        if (own != null) {
            return own;
        }
        for (int length = name.length(); length >= 0; length--) {
            Block pattern = block("volume", name.substring(0, length) + WILDCARD);
            if (pattern != null) {
                return pattern;
            }
        }
        return null;
    }

    /**
     * The pool that a volume, or an object's path, is routed to: that of the first route that
     * matches; null for none.
     *
     * @param what volume or prefix
     */
    public String route(String what, String name) {
        for (Route route : routes) {
            if (route.what().equals(what) && route.matches(name)) {
                return route.pool();
            }
        }
        return null;
    }

    /** The configuration as one flat text, by kind and name: what {@code config show} prints. */
    public String show() {
        Map<String, StringBuilder> textByKind = new LinkedHashMap<>();
        Schema.KINDS.keySet().forEach(kind -> textByKind.put(kind, new StringBuilder()));
        blocks.values().forEach(block -> show(block, textByKind.get(block.kind())));
        StringBuilder out = new StringBuilder();
        textByKind.values().forEach(out::append);
        for (Route route : routes) {
            out.append("route ")
                    .append(route.what())
                    .append(' ')
                    .append(Formatter.label(route.pattern()))
                    .append(" to ")
                    .append(Formatter.label(route.pool()))
                    .append(";\n");
        }
        return out.toString();
    }

    private static void show(Block block, StringBuilder out) {
        out.append(block.kind());
        if (!block.name().isEmpty()) {
            out.append(' ').append(Formatter.label(block.name()));
        }
        out.append(" {\n");
        block.settings()
                .forEach(
                        (name, values) ->
                                out.append("    ")
                                        .append(name)
                                        .append(' ')
                                        .append(format(values))
                                        .append(";\n"));
        out.append("}\n");
    }

    /** Values as the language writes them. */
    static String format(List<Object> values) {
        return values.stream().map(Fleet::format).collect(Collectors.joining(", "));
    }

    private static String format(Object value) {
        return value instanceof String text ? Formatter.label(text) : value.toString();
    }
}
