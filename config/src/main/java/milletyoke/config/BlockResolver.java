package milletyoke.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import milletyoke.config.Quantity.QuantityFormatException;
import milletyoke.config.SyntaxTree.Block;
import milletyoke.config.SyntaxTree.Setting;

/**
 * Resolves the settings of a block: its own, those inherited from the blocks and templates that it
 * names with {@code like}, and the defaults of its kind.
 */
final class BlockResolver {
    /**
     * Marks a setting whose value is invalid and reported, so that it does not count as missing.
     */
    private static final List<Object> INVALID = List.of("invalid");

    private final Declarations declarations;
    private final SettingReader settings;
    private final DiagnosticCollector diagnostics;
    private final Map<String, SortedMap<String, List<Object>>> resolved = new HashMap<>();

    BlockResolver(
            Declarations declarations, SettingReader settings, DiagnosticCollector diagnostics) {
        this.declarations = declarations;
        this.settings = settings;
        this.diagnostics = diagnostics;
    }

    /** Returns a block with all its settings; reports required settings that are missing. */
    Fleet.Block resolve(Block block) {
        String kind = block.kind();
        SortedMap<String, List<Object>> values = defaults(kind);
        values.putAll(explicitSettings(block, kind, new LinkedHashSet<>()));
        Schema.KINDS
                .get(kind)
                .forEach(
                        (name, field) -> {
                            if (field.isRequired() && !values.containsKey(name)) {
                                reportMissing(block, name, field);
                            }
                        });
        values.values().removeIf(BlockResolver::isInvalid);
        return new Fleet.Block(kind, block.name(), values);
    }

    @SuppressWarnings("ReferenceEquality") // INVALID is a marker object
    private static boolean isInvalid(List<Object> values) {
        return values == INVALID;
    }

    private void reportMissing(Block block, String name, Schema.Field field) {
        diagnostics.error(
                block.position(),
                "missing",
                block.kind() + " " + block.name() + " has no " + name,
                "for example " + field.type().example(name));
    }

    /** Returns the defaults of a kind of block; settings without a default are absent. */
    SortedMap<String, List<Object>> defaults(String kind) {
        SortedMap<String, List<Object>> values = new TreeMap<>();
        Schema.KINDS
                .get(kind)
                .forEach(
                        (name, field) -> {
                            if (field.hasDefault()) {
                                values.put(name, List.of(defaultValue(field)));
                            }
                        });
        return values;
    }

    private static Object defaultValue(Schema.Field field) {
        if (field.type().dimension() == null) {
            return field.defaultValue();
        }
        try {
            return Quantity.parse(field.defaultValue());
        } catch (QuantityFormatException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Returns the settings that a block sets itself or inherits, without defaults.
     *
     * @param kind the kind of the block that is resolved, which decides the settings that a
     *     template may have
     * @param path the keys of the blocks on the way from the resolved block to this one, to find
     *     cycles
     */
    private SortedMap<String, List<Object>> explicitSettings(
            Block block, String kind, Set<String> path) {
        String key = kind + "|" + Declarations.key(block.kind(), block.name());
        SortedMap<String, List<Object>> cached = resolved.get(key);
        if (cached != null) {
            return cached;
        }
        SortedMap<String, List<Object>> values = new TreeMap<>();
        if (!path.add(key) || path.size() > FleetReader.MAX_DEPTH) {
            reportCycle(block);
            return values;
        }
        if (block.parent() != null) {
            Block parent = parent(block);
            if (parent == null) {
                reportUnknownParent(block);
            } else {
                values.putAll(explicitSettings(parent, kind, path));
            }
        }
        addOwnSettings(block, kind, values);
        resolved.put(key, values);
        return values;
    }

    private Block parent(Block block) {
        Block template = declarations.block(Declarations.TEMPLATE, block.parent());
        return template != null ? template : declarations.block(block.kind(), block.parent());
    }

    private void addOwnSettings(
            Block block, String kind, SortedMap<String, List<Object>> resolvedValues) {
        Map<String, Schema.Field> fields = Schema.KINDS.get(kind);
        Set<String> seen = new HashSet<>();
        for (Setting setting : block.settings()) {
            String name = setting.name();
            Schema.Field field = fields.get(name);
            if (field == null) {
                reportUnknownSetting(setting, kind, fields.keySet());
            } else if (!seen.add(name)) {
                diagnostics.error(
                        setting.position(), "twice", name + " is set twice in this block", "");
            } else {
                List<Object> values = settings.read(setting, field.type());
                resolvedValues.put(name, values == null ? INVALID : values);
            }
        }
    }

    private void reportCycle(Block block) {
        diagnostics.error(
                block.parentPosition(),
                "cycle",
                block.kind()
                        + " "
                        + block.name()
                        + " inherits from itself, or through a chain of more than "
                        + FleetReader.MAX_DEPTH
                        + " blocks",
                "");
    }

    private void reportUnknownParent(Block block) {
        Set<String> candidates = declarations.names(block.kind());
        candidates.addAll(declarations.names(Declarations.TEMPLATE));
        ReferenceChecker.reportUnknown(
                diagnostics,
                block.parentPosition(),
                "template or " + block.kind(),
                block.parent(),
                candidates);
    }

    private void reportUnknownSetting(Setting setting, String kind, Set<String> known) {
        diagnostics.error(
                setting.position(),
                "name",
                kind + " has no setting " + setting.name(),
                "did you mean "
                        + NameSuggestions.nearest(setting.name(), known)
                        + "? Known settings: "
                        + String.join(", ", known));
    }
}
