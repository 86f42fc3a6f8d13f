package milletyoke.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;

/** The declarations of all files of a configuration, before they are resolved. */
final class Declarations {
    /** The kind of block that other blocks inherit from and that has no effect of its own. */
    static final String TEMPLATE = "template";

    final Map<String, SyntaxTree.File> files = new LinkedHashMap<>();
    final Map<String, SyntaxTree.Let> constants = new LinkedHashMap<>();

    /** The blocks by {@link #key}. */
    final Map<String, Block> blocks = new LinkedHashMap<>();

    final List<SyntaxTree.Route> routes = new ArrayList<>();

    /** Returns the key of a block; the name is empty for a kind that has no named blocks. */
    static String key(String kind, String name) {
        return kind + " " + name;
    }

    /** Returns the block of the given kind and name; null if there is none. */
    Block block(String kind, String name) {
        return blocks.get(key(kind, name));
    }

    /** Returns the names of all blocks of a kind, sorted. */
    Set<String> names(String kind) {
        Set<String> names = new TreeSet<>();
        for (Block block : blocks.values()) {
            if (block.kind().equals(kind)) {
                names.add(block.name());
            }
        }
        return names;
    }

    /** Returns the start of the checked file, where missing blocks are reported. */
    Position start() {
        return new Position(files.isEmpty() ? "" : files.keySet().iterator().next(), 1, 1);
    }

    /** Formats a position as file and line, for messages. */
    static String formatPosition(Position position) {
        return position.file() + ":" + position.line();
    }
}
