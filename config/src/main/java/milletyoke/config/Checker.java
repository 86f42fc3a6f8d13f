package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import milletyoke.config.SyntaxTree.Position;

/**
 * Checks a configuration in one pass: reports everything that is wrong with it and resolves what it
 * means. What is wrong in one place is left out of the checks that follow, so that one mistake
 * gives one diagnostic.
 *
 * <p>Precedence: a file's own block replaces, as a whole, one of the same kind and name in a file
 * that it includes; two such blocks in one file, or in two files neither of which includes the
 * other, are an error. Within a block, its own settings replace those of the block or template that
 * it is like. A volume's own block replaces patterns; of patterns the longest counts.
 */
public final class Checker {
    /**
     * With one of these errors a part of the text was not read, and may hold what seems missing.
     */
    private static final Set<String> INCOMPLETE_SOURCE_CODES =
            Set.of("size", "depth", "syntax", "file", "cycle");

    private final DiagnosticCollector diagnostics = new DiagnosticCollector();
    private final Declarations declarations = new Declarations();

    private Checker() {}

    /**
     * What a check gave.
     *
     * @param fleet what the configuration means; null where there is any error
     * @param diagnostics errors and warnings in the order of their places
     * @param files all files that were read, the checked one first
     */
    public record Result(Fleet fleet, List<Diagnostic> diagnostics, List<String> files) {
        /** Whether there are no errors; there may be warnings. */
        public boolean isValid() {
            return diagnostics.stream().noneMatch(Diagnostic::isError);
        }
    }

    /**
     * Checks a file and all that it includes.
     *
     * @param file its name, as the source provider knows it
     */
    public static Result check(SourceProvider sources, String file) {
        return new Checker().run(sources, file);
    }

    private Result run(SourceProvider sources, String file) {
        new SourceLoader(sources, declarations, diagnostics).load(file);
        Fleet fleet = resolve();
        return new Result(
                diagnostics.hasErrors() ? null : fleet,
                diagnostics.sorted(),
                List.copyOf(declarations.files.keySet()));
    }

    private Fleet resolve() {
        ConstantEvaluator constants = new ConstantEvaluator(declarations.constants);
        constants.checkAll(diagnostics);
        SettingReader settings = new SettingReader(constants, diagnostics);
        BlockResolver resolver = new BlockResolver(declarations, settings, diagnostics);
        SortedMap<String, Fleet.Block> blocks = resolveBlocks(resolver);
        if (isSourceComplete()) {
            requireBlocks(blocks);
        }
        List<Fleet.Route> routes = new ArrayList<>();
        for (SyntaxTree.Route route : declarations.routes) {
            routes.add(new Fleet.Route(route.what(), route.pattern(), route.pool()));
        }
        Fleet fleet = new Fleet(blocks, List.copyOf(routes));
        new ReferenceChecker(declarations, diagnostics).check(fleet);
        if (!diagnostics.hasErrors()) {
            new ConsistencyChecker(declarations, diagnostics).check(fleet);
        }
        return fleet;
    }

    private SortedMap<String, Fleet.Block> resolveBlocks(BlockResolver resolver) {
        SortedMap<String, Fleet.Block> resolved = new TreeMap<>();
        declarations.blocks.forEach(
                (key, block) -> {
                    if (!block.kind().equals(Declarations.TEMPLATE)) {
                        resolved.put(key, resolver.resolve(block));
                    }
                });
        for (String kind : List.of("bounds", "allowances")) {
            resolved.computeIfAbsent(
                    Declarations.key(kind, ""),
                    key -> new Fleet.Block(kind, "", resolver.defaults(kind)));
        }
        return resolved;
    }

    private boolean isSourceComplete() {
        return diagnostics.all().stream()
                .noneMatch(diagnostic -> INCOMPLETE_SOURCE_CODES.contains(diagnostic.code()));
    }

    private void requireBlocks(SortedMap<String, Fleet.Block> blocks) {
        Position start = declarations.start();
        if (!blocks.containsKey(Declarations.key("fleet", ""))) {
            diagnostics.error(
                    start,
                    "missing",
                    "no fleet block says how many initiators there are",
                    "fleet { initiators 3; }");
        }
        for (String kind : List.of("category", "plan")) {
            if (blocks.values().stream().noneMatch(block -> block.kind().equals(kind))) {
                diagnostics.error(start, "missing", "no " + kind + " is given", "");
            }
        }
    }
}
