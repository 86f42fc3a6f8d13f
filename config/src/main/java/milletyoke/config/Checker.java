package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import milletyoke.config.SyntaxTree.Position;

/**
 * Checks a configuration in one pass: reports all errors and warnings and resolves it to a {@link
 * Fleet}. An invalid element is left out of the checks that follow, so that one mistake gives one
 * diagnostic.
 *
 * <p>Precedence: a block replaces, as a whole, a block of the same kind and name in a file that its
 * own file includes; two such blocks in one file, or in two files neither of which includes the
 * other, are an error. Within a block, its own settings replace those that it inherits with {@code
 * like}. A volume's own block takes precedence over patterns, and a longer pattern over a shorter
 * one.
 */
public final class Checker {
    /**
     * Codes of errors after which part of the text was not read. A required block that was not
     * found may be in that part, so it is not reported as missing.
     */
    private static final Set<String> INCOMPLETE_SOURCE_CODES =
            Set.of("size", "depth", "syntax", "file", "cycle");

    private final DiagnosticCollector diagnostics = new DiagnosticCollector();
    private final Declarations declarations = new Declarations();

    private Checker() {}

    /**
     * The result of a check.
     *
     * @param fleet the resolved configuration; null if there is an error
     * @param diagnostics errors and warnings, ordered by position
     * @param files the canonical names of all files that were read, the checked one first
     */
    public record Result(Fleet fleet, List<Diagnostic> diagnostics, List<String> files) {
        /** Returns whether there are no errors; there may be warnings. */
        public boolean isValid() {
            return diagnostics.stream().noneMatch(Diagnostic::isError);
        }
    }

    /**
     * Checks a file and all files that it includes.
     *
     * @param file the canonical name of the file, as the source provider gives it
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
            routes.add(new Fleet.Route(route.matchType(), route.pattern(), route.pool()));
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
                    "no fleet block is defined; it sets the number of initiators",
                    "fleet { initiators 3; }");
        }
        for (String kind : List.of("category", "plan")) {
            if (blocks.values().stream().noneMatch(block -> block.kind().equals(kind))) {
                diagnostics.error(start, "missing", "no " + kind + " block is defined", "");
            }
        }
    }
}
