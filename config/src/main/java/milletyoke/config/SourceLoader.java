package milletyoke.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;

/**
 * Reads a file and all files that it includes, and collects their declarations. Of two declarations
 * of one block, the one in the including file takes precedence.
 */
final class SourceLoader {
    private static final int MAX_FILES = 1_000;
    private static final long MAX_TOTAL_CHARS = 64L << 20;

    private final SourceProvider sources;
    private final Declarations declarations;
    private final DiagnosticCollector diagnostics;
    private final ArrayDeque<String> openFiles = new ArrayDeque<>();
    private final Map<String, Set<String>> includedFiles = new HashMap<>();
    private long totalChars;

    SourceLoader(
            SourceProvider sources, Declarations declarations, DiagnosticCollector diagnostics) {
        this.sources = sources;
        this.declarations = declarations;
        this.diagnostics = diagnostics;
    }

    void load(String file) {
        load(file, null);
    }

    /**
     * Loads a file, unless it is loaded already, under whichever name it is included.
     *
     * @param includedFrom the including statement; null for the checked file itself
     */
    private void load(String file, Position includedFrom) {
        if (openFiles.contains(file)) {
            reportCycle(file, includedFrom);
            return;
        }
        if (declarations.files.containsKey(file)) {
            return;
        }
        if (declarations.files.size() >= MAX_FILES || openFiles.size() >= FleetReader.MAX_DEPTH) {
            diagnostics.error(
                    includedFrom,
                    "size",
                    "more than "
                            + MAX_FILES
                            + " files, or includes nested deeper than "
                            + FleetReader.MAX_DEPTH,
                    "");
            return;
        }
        Position reportPosition = includedFrom == null ? new Position(file, 1, 1) : includedFrom;
        String text = readText(file, reportPosition);
        if (text == null) {
            return;
        }
        diagnostics.addSource(file, text);
        SyntaxTree.File syntax = FleetReader.read(file, text, diagnostics.all());
        declarations.files.put(file, syntax);
        openFiles.push(file);
        for (SyntaxTree.Statement statement : syntax.statements()) {
            declare(file, statement);
        }
        openFiles.pop();
    }

    private void reportCycle(String file, Position includedFrom) {
        List<String> chain = new ArrayList<>();
        openFiles.descendingIterator().forEachRemaining(open -> chain.add(open + " includes"));
        chain.add(file + ", which is already being read");
        diagnostics.error(
                includedFrom,
                "cycle",
                "include cycle: the included file is already being read",
                "remove one of these includes",
                chain);
    }

    /** Returns the text of a file; reports an error and returns null if it cannot be read. */
    private String readText(String file, Position reportPosition) {
        String text;
        try {
            text = sources.text(file);
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            diagnostics.error(
                    reportPosition,
                    "file",
                    file + " cannot be read: " + unreadable.getMessage(),
                    "");
            return null;
        }
        totalChars += text.length();
        if (totalChars > MAX_TOTAL_CHARS) {
            diagnostics.error(
                    reportPosition,
                    "size",
                    "more than " + MAX_TOTAL_CHARS + " characters in all files together",
                    "");
            return null;
        }
        return text;
    }

    private void declare(String file, SyntaxTree.Statement statement) {
        if (statement instanceof SyntaxTree.Include include) {
            include(file, include);
        } else if (statement instanceof SyntaxTree.Let constant) {
            declareConstant(constant);
        } else if (statement instanceof Block block) {
            declareBlock(block);
        } else if (statement instanceof SyntaxTree.Route route) {
            declarations.routes.add(route);
        }
    }

    private void include(String file, SyntaxTree.Include include) {
        List<String> found;
        try {
            found = sources.find(file, include.pattern());
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            diagnostics.error(
                    include.position(),
                    "file",
                    "\"" + include.pattern() + "\": " + unreadable.getMessage(),
                    "");
            return;
        }
        if (found.isEmpty()) {
            diagnostics.error(
                    include.position(),
                    "file",
                    "no file matches \"" + include.pattern() + "\"",
                    "a path in an include is relative to the including file");
        }
        for (String included : found) {
            includedFiles.computeIfAbsent(file, key -> new LinkedHashSet<>()).add(included);
            load(included, include.position());
        }
    }

    private void declareConstant(SyntaxTree.Let constant) {
        SyntaxTree.Let earlier = declarations.constants.putIfAbsent(constant.name(), constant);
        if (earlier != null) {
            diagnostics.error(
                    constant.position(),
                    "twice",
                    "constant "
                            + constant.name()
                            + " is already defined at "
                            + Declarations.formatPosition(earlier.position()),
                    "");
        }
    }

    private void declareBlock(Block block) {
        String key = Declarations.key(block.kind(), block.name());
        Block earlier = declarations.blocks.get(key);
        if (earlier == null) {
            declarations.blocks.put(key, block);
            return;
        }
        String earlierFile = earlier.position().file();
        String file = block.position().file();
        boolean isSameFile = file.equals(earlierFile);
        if (!isSameFile && includes(file, earlierFile)) {
            declarations.blocks.put(key, block);
        } else if (isSameFile || !includes(earlierFile, file)) {
            diagnostics.error(
                    block.position(),
                    "twice",
                    key.trim()
                            + " is already defined at "
                            + Declarations.formatPosition(earlier.position()),
                    "only a file that includes the other may replace its block");
        }
    }

    /** Returns whether a file includes another, directly or transitively. */
    private boolean includes(String file, String other) {
        Set<String> seen = new LinkedHashSet<>(List.of(file));
        ArrayDeque<String> pending = new ArrayDeque<>(seen);
        while (!pending.isEmpty()) {
            for (String included : includedFiles.getOrDefault(pending.pop(), Set.of())) {
                if (included.equals(other)) {
                    return true;
                }
                if (seen.add(included)) {
                    pending.add(included);
                }
            }
        }
        return false;
    }
}
