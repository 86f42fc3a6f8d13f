package milletyoke.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Position;

/** All that the files of a configuration declare, after includes and before any meaning. */
final class Declarations {
    /** The kind of blocks that only others refer to. */
    static final String TEMPLATE = "template";

    final Map<String, SyntaxTree.File> files = new LinkedHashMap<>();
    final Map<String, SyntaxTree.Let> constants = new LinkedHashMap<>();

    /** By {@link #key}. */
    final Map<String, Block> blocks = new LinkedHashMap<>();

    final List<SyntaxTree.Route> routes = new ArrayList<>();

    /** The key of a block; blocks that stand once have an empty name. */
    static String key(String kind, String name) {
        return kind + " " + name;
    }

    /** The block of that kind and name; null for none. */
    Block block(String kind, String name) {
        return blocks.get(key(kind, name));
    }

    /** The names of all blocks of a kind, sorted. */
    Set<String> names(String kind) {
        Set<String> names = new TreeSet<>();
        for (Block block : blocks.values()) {
            if (block.kind().equals(kind)) {
                names.add(block.name());
            }
        }
        return names;
    }

    /** The start of the checked file: where what is missing is reported. */
    Position start() {
        return new Position(files.isEmpty() ? "" : files.keySet().iterator().next(), 1, 1);
    }

    /** A position as messages name it. */
    static String place(Position position) {
        return position.file() + ":" + position.line();
    }
}
