package milletyoke.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What a configuration means: order, includes, constants and templates are resolved, and defaults
 * stand where nothing was said. Two configurations mean the same if and only if these are equal.
 */
public record Fleet(SortedMap<String, Block> blocks, List<Route> routes) {
    /** One block; a value is a {@link Quantity} or text. */
    public record Block(String kind, String name, SortedMap<String, List<Object>> settings) {
        public double number(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? 0 : ((Quantity) values.get(0)).value();
        }

        public String text(String setting) {
            List<Object> values = settings.get(setting);
            return values == null ? "" : (String) values.get(0);
        }

        public boolean flag(String setting) {
            return text(setting).equals("yes");
        }
    }

    /**
     * @param what volume or prefix
     */
    public record Route(String what, String pattern, String pool) {}

    public List<Block> blocksOfKind(String kind) {
        return blocks.values().stream().filter(b -> b.kind().equals(kind)).toList();
    }

    /** A block that stands once; the defaults where it was left out. */
    public Block single(String kind) {
        return blocks.get(kind + " ");
    }

    public Block block(String kind, String name) {
        return blocks.get(kind + " " + name);
    }

    /**
     * The block that a volume's name falls to: its own, else the longest pattern's; null for none.
     */
    public Block volume(String name) {
        Block own = block("volume", name);
        if (own != null) {
            return own;
        }
        for (int length = name.length(); length >= 0; length--) {
            Block pattern = block("volume", name.substring(0, length) + "*");
            if (pattern != null) {
                return pattern;
            }
        }
        return null;
    }

    /**
     * The pool that a volume, or an object's path, is routed to: the first route that fits; null
     * for none.
     */
    public String route(String what, String name) {
        for (Route r : routes) {
            boolean fits =
                    r.pattern().endsWith("*")
                            ? name.startsWith(r.pattern().substring(0, r.pattern().length() - 1))
                            : what.equals("prefix")
                                    ? name.startsWith(r.pattern())
                                    : name.equals(r.pattern());
            if (r.what().equals(what) && fits) {
                return r.pool();
            }
        }
        return null;
    }

    /** As one flat list, kind and name first; for people and for comparison. */
    public String show() {
        StringBuilder out = new StringBuilder();
        Map<String, StringBuilder> byKind = new LinkedHashMap<>();
        Schema.KINDS.keySet().forEach(k -> byKind.put(k, new StringBuilder()));
        blocks.values()
                .forEach(
                        b -> {
                            StringBuilder text = byKind.get(b.kind());
                            text.append(b.kind())
                                    .append(
                                            b.name().isEmpty()
                                                    ? ""
                                                    : " " + Formatter.label(b.name()))
                                    .append(" {\n");
                            b.settings()
                                    .forEach(
                                            (name, values) ->
                                                    text.append("    ")
                                                            .append(name)
                                                            .append(' ')
                                                            .append(written(values))
                                                            .append(";\n"));
                            text.append("}\n");
                        });
        byKind.values().forEach(out::append);
        routes.forEach(
                r ->
                        out.append("route ")
                                .append(r.what())
                                .append(' ')
                                .append(Formatter.label(r.pattern()))
                                .append(" to ")
                                .append(Formatter.label(r.pool()))
                                .append(";\n"));
        return out.toString();
    }

    static String written(List<Object> values) {
        return values.stream()
                .map(v -> v instanceof String s ? Formatter.label(s) : v.toString())
                .reduce((a, b) -> a + ", " + b)
                .orElse("");
    }

    static SortedMap<String, Block> empty() {
        return new TreeMap<>();
    }
}
