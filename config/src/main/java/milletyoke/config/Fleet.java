package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.stream.Collectors;

/**
 * A resolved configuration: includes, constants and templates are resolved, and defaults are filled
 * in. Two configurations are equivalent if and only if their fleets are equal. Immutable.
 *
 * @param blocks by kind and name, separated by a space
 * @param routes in the order in which they are tried
 */
public record Fleet(SortedMap<String, Block> blocks, List<Route> routes) {
    private static final String WILDCARD = "*";

    /**
     * A block with all its settings.
     *
     * @param name empty for a kind that has no named blocks
     * @param settings each value is a {@link Quantity} or text
     */
    public record Block(String kind, String name, SortedMap<String, List<Object>> settings) {
        /** Returns a quantity in its base unit; 0 if the setting is absent. */
        public double number(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? 0 : ((Quantity) values.get(0)).value();
        }

        /** Returns a text value; empty if the setting is absent. */
        public String text(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? "" : (String) values.get(0);
        }

        /** Returns whether a setting is {@code yes}. */
        public boolean flag(String setting) {
            return text(setting).equals("yes");
        }
    }

    /**
     * Routes the volumes or object paths that match a pattern to a pool.
     *
     * @param matchType {@code volume} or {@code prefix}
     */
    public record Route(String matchType, String pattern, String pool) {
        private boolean matches(String name) {
            if (pattern.endsWith(WILDCARD)) {
                return name.startsWith(pattern.substring(0, pattern.length() - 1));
            }
            return matchType.equals("prefix") ? name.startsWith(pattern) : name.equals(pattern);
        }
    }

    /** Returns all blocks of a kind, ordered by name. */
    public List<Block> blocksOfKind(String kind) {
        return blocks.values().stream().filter(block -> block.kind().equals(kind)).toList();
    }

    /**
     * Returns the block of a kind that has no named blocks. An omitted {@code bounds} or {@code
     * allowances} block has the defaults.
     */
    public Block single(String kind) {
        return block(kind, "");
    }

    /** Returns the block of the given kind and name; null if there is none. */
    public Block block(String kind, String name) {
        return blocks.get(Declarations.key(kind, name));
    }

    /**
     * Returns the block that applies to a volume: its own, else that of the longest matching
     * pattern; null if there is none.
     */
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
     * Returns the pool of the first route that matches a volume or an object's path; null if there
     * is none.
     *
     * @param matchType {@code volume} or {@code prefix}
     */
    public String poolFor(String matchType, String name) {
        for (Route route : routes) {
            if (route.matchType().equals(matchType) && route.matches(name)) {
                return route.pool();
            }
        }
        return null;
    }

    /**
     * Returns the resolved configuration as text, ordered by kind and name, as {@code config show}
     * prints it.
     */
    public String show() {
        Map<String, StringBuilder> textByKind = new LinkedHashMap<>();
        Schema.KINDS.keySet().forEach(kind -> textByKind.put(kind, new StringBuilder()));
        blocks.values().forEach(block -> show(block, textByKind.get(block.kind())));
        StringBuilder out = new StringBuilder();
        textByKind.values().forEach(out::append);
        for (Route route : routes) {
            out.append("route ")
                    .append(route.matchType())
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

    /** Formats values in the syntax of the language. */
    static String format(List<Object> values) {
        return values.stream().map(Fleet::format).collect(Collectors.joining(", "));
    }

    private static String format(Object value) {
        return value instanceof String text ? Formatter.label(text) : value.toString();
    }
}
