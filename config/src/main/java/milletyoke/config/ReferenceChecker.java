package milletyoke.config;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;
import milletyoke.config.SyntaxTree.Route;

/** Checks references between blocks, and routes and volume patterns that cover one another. */
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

    /** Reports a name that nothing has, with the nearest known one as a hint. */
    static void reportUnknown(
            DiagnosticCollector diagnostics,
            Position position,
            String kind,
            String name,
            Set<String> known) {
        diagnostics.error(
                position,
                "name",
                "no " + kind + " is called " + name,
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

    /** Where a block states a setting; the block itself where it is inherited. */
    private static Position position(Block block, String setting) {
        return block.settings().stream()
                .filter(own -> own.name().equals(setting) && !own.values().isEmpty())
                .map(own -> own.values().get(0).at())
                .findFirst()
                .orElse(block.at());
    }

    private void checkRouteReferences() {
        Set<String> pools = declarations.names("pool");
        for (Route route : declarations.routes) {
            if (!pools.contains(route.pool())) {
                reportUnknown(diagnostics, route.poolAt(), "pool", route.pool(), pools);
            }
        }
    }

    /** A route is never reached where an earlier one matches all that it could match. */
    private void checkRoutesAreReachable() {
        Map<String, Route> earlierRoutes = new HashMap<>();
        for (Route route : declarations.routes) {
            boolean isWildcard = route.pattern().endsWith(WILDCARD);
            String text = isWildcard ? withoutWildcard(route.pattern()) : route.pattern();
            boolean isPrefix = isWildcard || route.what().equals("prefix");
            String exactKey = route.what() + "=" + text;
            Route covering = isPrefix ? null : earlierRoutes.get(exactKey);
            for (int n = 0; n <= text.length() && covering == null; n++) {
                covering = earlierRoutes.get(prefixKey(route, text.substring(0, n)));
            }
            if (covering == null) {
                earlierRoutes.put(isPrefix ? prefixKey(route, text) : exactKey, route);
            } else {
                reportUnreachable(route, covering);
            }
        }
    }

    private static String prefixKey(Route route, String prefix) {
        return route.what() + "^" + prefix;
    }

    private void reportUnreachable(Route route, Route covering) {
        diagnostics.warn(
                route.at(),
                "unreachable",
                "this route is never reached: "
                        + covering.pattern()
                        + " at "
                        + Declarations.place(covering.at())
                        + " takes all of it",
                "routes are tried in order; the narrow one goes first");
    }

    /** A volume pattern within another is allowed, as the longest counts, and may be a mistake. */
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
                block.at(),
                "overlap",
                "volume "
                        + block.name()
                        + " lies within "
                        + wider.name()
                        + " at "
                        + Declarations.place(wider.at()),
                "the longer pattern counts");
    }

    private static String withoutWildcard(String pattern) {
        return pattern.substring(0, pattern.length() - WILDCARD.length());
    }
}
