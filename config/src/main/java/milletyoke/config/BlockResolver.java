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
 * Resolves a block's settings: its own, those of the blocks and templates that it is like, and the
 * defaults of its kind.
 */
final class BlockResolver {
    /** Marks a setting whose value is invalid: it was reported, and is not missing. */
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

    /** A block with all its settings; a required setting that is missing is reported. */
    Fleet.Block resolve(Block block) {
        String kind = block.kind();
        SortedMap<String, List<Object>> values = defaults(kind);
        values.putAll(inherited(block, kind, new LinkedHashSet<>()));
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

    @SuppressWarnings("ReferenceEquality") // a marker, not a value
    private static boolean isInvalid(List<Object> values) {
        return values == INVALID;
    }

    private void reportMissing(Block block, String name, Schema.Field field) {
        diagnostics.error(
                block.at(),
                "missing",
                block.kind() + " " + block.name() + " has no " + name,
                "as " + field.type().example(name));
    }

    /** The defaults of a kind of block; settings that have none are absent. */
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
            return Quantity.of(field.defaultValue());
        } catch (QuantityFormatException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * A block's own settings over those of the block or template that it is like.
     *
     * @param kind of the block that is resolved: templates have the settings of any kind
     * @param path the blocks between that one and this, to find cycles
     */
    private SortedMap<String, List<Object>> inherited(Block block, String kind, Set<String> path) {
        String key = kind + "|" + Declarations.key(block.kind(), block.name());
        SortedMap<String, List<Object>> known = resolved.get(key);
        if (known != null) {
            return known;
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
                values.putAll(inherited(parent, kind, path));
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
                        setting.at(), "twice", name + " stands there twice in this block", "");
            } else {
                List<Object> values = settings.read(setting, field.type());
                resolvedValues.put(name, values == null ? INVALID : values);
            }
        }
    }

    private void reportCycle(Block block) {
        diagnostics.error(
                block.parentAt(),
                "cycle",
                block.kind()
                        + " "
                        + block.name()
                        + " is like itself, or like over "
                        + FleetReader.MAX_DEPTH
                        + " others in a row",
                "");
    }

    private void reportUnknownParent(Block block) {
        Set<String> candidates = declarations.names(block.kind());
        candidates.addAll(declarations.names(Declarations.TEMPLATE));
        ReferenceChecker.reportUnknown(
                diagnostics,
                block.parentAt(),
                "template or " + block.kind(),
                block.parent(),
                candidates);
    }

    private void reportUnknownSetting(Setting setting, String kind, Set<String> known) {
        diagnostics.error(
                setting.at(),
                "name",
                kind + " has no setting " + setting.name(),
                "did you mean "
                        + NameSuggestions.nearest(setting.name(), known)
                        + "? Known are "
                        + String.join(", ", known));
    }
}
