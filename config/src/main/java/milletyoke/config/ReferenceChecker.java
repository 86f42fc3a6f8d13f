package milletyoke.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;
import milletyoke.config.SyntaxTree.Route;

/** Checks references to blocks, unreachable routes and overlapping volume patterns. */
final class ReferenceChecker {
    private static final String WILDCARD = "*";

    private final Declarations declarations;
    private final DiagnosticCollector diagnostics;

    ReferenceChecker(Declarations declarations, DiagnosticCollector diagnostics) {
        this.declarations = declarations;
        this.diagnostics = diagnostics;
    }

    void check(Fleet fleet) {
        checkBlockReferences(fleet);
        checkRouteReferences();
        checkRoutesAreReachable();
        checkPatternsOverlap();
    }

    /** Reports an unknown name, with the most similar known name as a hint. */
    static void reportUnknown(
            DiagnosticCollector diagnostics,
            Position position,
            String kind,
            String name,
            Set<String> known) {
        diagnostics.error(
                position,
                "name",
                "no " + kind + " is named " + name,
                known.isEmpty()
                        ? "none is defined"
                        : "did you mean " + NameSuggestions.nearest(name, known) + "?");
    }

    private void checkBlockReferences(Fleet fleet) {
        Map<String, Set<String>> namesByKind = new HashMap<>();
        declarations.blocks.forEach(
                (key, block) -> {
                    Map<String, Schema.Field> fields = Schema.KINDS.get(block.kind());
                    Fleet.Block resolved = fleet.blocks().get(key);
                    if (fields == null || resolved == null) {
                        return;
                    }
                    fields.forEach(
                            (name, field) ->
                                    checkReference(block, resolved, name, field, namesByKind));
                });
    }

    private void checkReference(
            Block block,
            Fleet.Block resolved,
            String setting,
            Schema.Field field,
            Map<String, Set<String>> namesByKind) {
        String kind = field.type().referencedKind();
        String name = kind == null ? "" : resolved.text(setting);
        if (name.isEmpty()) {
            return;
        }
        Set<String> known = namesByKind.computeIfAbsent(kind, declarations::names);
        if (!known.contains(name)) {
            reportUnknown(diagnostics, position(block, setting), kind, name, known);
        }
    }

    /**
     * Returns the position of a setting in a block; that of the block if the setting is inherited.
     */
    private static Position position(Block block, String setting) {
        return block.settings().stream()
                .filter(own -> own.name().equals(setting) && !own.values().isEmpty())
                .map(own -> own.values().get(0).position())
                .findFirst()
                .orElse(block.position());
    }

    private void checkRouteReferences() {
        Set<String> pools = declarations.names("pool");
        for (Route route : declarations.routes) {
            if (!pools.contains(route.pool())) {
                reportUnknown(diagnostics, route.poolPosition(), "pool", route.pool(), pools);
            }
        }
    }

    /**
     * Warns about routes that are never reached because an earlier route matches all their names.
     */
    private void checkRoutesAreReachable() {
        Map<String, Route> earlierRoutes = new HashMap<>();
        for (Route route : declarations.routes) {
            boolean isWildcard = route.pattern().endsWith(WILDCARD);
            String text = isWildcard ? withoutWildcard(route.pattern()) : route.pattern();
            boolean isPrefix = isWildcard || route.matchType().equals("prefix");
            String exactKey = route.matchType() + "=" + text;
            Route covering = isPrefix ? null : earlierRoutes.get(exactKey);
            for (int length = 0; length <= text.length() && covering == null; length++) {
                covering = earlierRoutes.get(prefixKey(route, text.substring(0, length)));
            }
            if (covering == null) {
                earlierRoutes.put(isPrefix ? prefixKey(route, text) : exactKey, route);
            } else {
                reportUnreachable(route, covering);
            }
        }
    }

    private static String prefixKey(Route route, String prefix) {
        return route.matchType() + "^" + prefix;
    }

    private void reportUnreachable(Route route, Route covering) {
        diagnostics.warn(
                route.position(),
                "unreachable",
                "this route is never reached: the earlier route "
                        + covering.pattern()
                        + " at "
                        + Declarations.formatPosition(covering.position())
                        + " matches everything that this one does",
                "routes are tried in order; put the narrower route first");
    }

    /**
     * Warns about volume patterns that lie within wider ones. They are valid, because the longest
     * matching pattern applies, but may be a mistake.
     */
    private void checkPatternsOverlap() {
        Map<String, Block> blocksByPrefix = new HashMap<>();
        for (Block block : declarations.blocks.values()) {
            if (block.kind().equals("volume") && block.name().endsWith(WILDCARD)) {
                blocksByPrefix.put(withoutWildcard(block.name()), block);
            }
        }
        blocksByPrefix.forEach(
                (prefix, block) -> {
                    Block wider = shortestPrefix(blocksByPrefix, prefix);
                    if (wider != null) {
                        reportOverlap(block, wider);
                    }
                });
    }

    private static Block shortestPrefix(Map<String, Block> blocksByPrefix, String prefix) {
        for (int length = 0; length < prefix.length(); length++) {
            Block wider = blocksByPrefix.get(prefix.substring(0, length));
            if (wider != null) {
                return wider;
            }
        }
        return null;
    }

    private void reportOverlap(Block block, Block wider) {
        diagnostics.warn(
                block.position(),
                "overlap",
                "volume "
                        + block.name()
                        + " is within the wider pattern "
                        + wider.name()
                        + " at "
                        + Declarations.formatPosition(wider.position()),
                "the longest matching pattern applies");
    }

    private static String withoutWildcard(String pattern) {
        return pattern.substring(0, pattern.length() - WILDCARD.length());
    }
}
