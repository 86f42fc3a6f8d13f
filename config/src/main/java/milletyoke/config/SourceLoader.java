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
 * Reads a file and all that it includes, and collects what they declare. Which of two declarations
 * of one block counts is decided here, by which file includes the other.
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
     * Loads a file once, by whatever names it is included.
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
                    "over "
                            + MAX_FILES
                            + " files, or includes deeper than "
                            + FleetReader.MAX_DEPTH,
                    "");
            return;
        }
        Position reportAt = includedFrom == null ? new Position(file, 1, 1) : includedFrom;
        String text = readText(file, reportAt);
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
        chain.add(file + ", which is open already");
        diagnostics.error(
                includedFrom,
                "cycle",
                "this include comes back to a file that is being read",
                "take one include out",
                chain);
    }

    /** A file's text; null where it cannot be had, which was reported. */
    private String readText(String file, Position reportAt) {
        String text;
        try {
            text = sources.text(file);
        } catch (SourceProvider.UnreadableSourceException unreadable) {
            diagnostics.error(
                    reportAt, "file", file + " cannot be read: " + unreadable.getMessage(), "");
            return null;
        }
        totalChars += text.length();
        if (totalChars > MAX_TOTAL_CHARS) {
            diagnostics.error(
                    reportAt, "size", "over " + MAX_TOTAL_CHARS + " characters in all files", "");
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
                    include.at(),
                    "file",
                    "\"" + include.pattern() + "\": " + unreadable.getMessage(),
                    "");
            return;
        }
        if (found.isEmpty()) {
            diagnostics.error(
                    include.at(),
                    "file",
                    "no file fits \"" + include.pattern() + "\"",
                    "an include is relative to the file it stands in");
        }
        for (String included : found) {
            includedFiles.computeIfAbsent(file, key -> new LinkedHashSet<>()).add(included);
            load(included, include.at());
        }
    }

    private void declareConstant(SyntaxTree.Let constant) {
        SyntaxTree.Let earlier = declarations.constants.putIfAbsent(constant.name(), constant);
        if (earlier != null) {
            diagnostics.error(
                    constant.at(),
                    "twice",
                    "constant "
                            + constant.name()
                            + " is defined already at "
                            + Declarations.place(earlier.at()),
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
        String earlierFile = earlier.at().file();
        String file = block.at().file();
        boolean isSameFile = file.equals(earlierFile);
        if (!isSameFile && includes(file, earlierFile)) {
            declarations.blocks.put(key, block);
        } else if (isSameFile || !includes(earlierFile, file)) {
            diagnostics.error(
                    block.at(),
                    "twice",
                    key.trim() + " stands already at " + Declarations.place(earlier.at()),
                    "only a file that includes the other may hide its block");
        }
    }

    /** Whether a file includes another, directly or through others. */
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
