package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.TreeSet;

/**
 * Compares two resolved configurations, and classifies how a running initiator applies each change.
 */
public final class FleetDiff {
    /** The value of a block that exists, where the other configuration lacks it. */
    private static final String PRESENT = "there";

    private final Fleet before;
    private final Fleet after;
    private final List<Change> changes = new ArrayList<>();

    private FleetDiff(Fleet before, Fleet after) {
        this.before = before;
        this.after = after;
    }

    /** How a running initiator applies a change. */
    public enum ApplyMode {
        /** Applied without a restart. */
        IN_SERVICE,
        /** Applied at the next restart. */
        RESTART,
        /** Rejected, because requests that need the removed block may be pending. */
        REFUSED
    }

    /**
     * One change. The component names are the keys of {@code config diff --json}.
     *
     * @param what the block or route that changes
     * @param setting empty if the whole block or route is added, removed or replaced
     * @param before the value in the first configuration; empty if it is unset
     * @param after the value in the second configuration; empty if it is unset
     * @param whom the number of volumes and patterns that the change affects, as text; empty if it
     *     is not counted for this kind of change
     * @param taken how the change is applied
     */
    public record Change(
            String what,
            String setting,
            String before,
            String after,
            String whom,
            ApplyMode taken) {
        /** Formats the change as one line of text. */
        public String text() {
            String affected = whom.isEmpty() ? "" : ", " + whom;
            String mode = taken.name().toLowerCase(Locale.ROOT).replace('_', ' ');
            return what + ": " + description() + affected + "  [" + mode + "]";
        }

        private String description() {
            if (!setting.isEmpty()) {
                return setting + " " + valueOrUnset(before) + " -> " + valueOrUnset(after);
            }
            if (before.isEmpty()) {
                return "new";
            }
            return after.isEmpty() ? "removed" : before + " -> " + after;
        }

        private static String valueOrUnset(String value) {
            return value.isEmpty() ? "unset" : value;
        }
    }

    /**
     * Returns all changes, those of blocks by kind and name before those of routes. The list is
     * empty if and only if the configurations are equivalent.
     */
    public static List<Change> between(Fleet before, Fleet after) {
        FleetDiff diff = new FleetDiff(before, after);
        diff.compareBlocks();
        diff.compareRoutes();
        return diff.changes;
    }

    private void compareBlocks() {
        TreeSet<String> keys = new TreeSet<>(before.blocks().keySet());
        keys.addAll(after.blocks().keySet());
        for (String key : keys) {
            Fleet.Block oldBlock = before.blocks().get(key);
            Fleet.Block newBlock = after.blocks().get(key);
            if (oldBlock == null) {
                String volumes = countAffectedVolumes(after, newBlock);
                ApplyMode mode = blockApplyMode(newBlock.kind(), true);
                changes.add(new Change(key.trim(), "", "", PRESENT, volumes, mode));
            } else if (newBlock == null) {
                String volumes = countAffectedVolumes(before, oldBlock);
                ApplyMode mode = blockApplyMode(oldBlock.kind(), false);
                changes.add(new Change(key.trim(), "", PRESENT, "", volumes, mode));
            } else {
                compareSettings(key.trim(), oldBlock, newBlock);
            }
        }
    }

    private void compareSettings(String what, Fleet.Block oldBlock, Fleet.Block newBlock) {
        TreeSet<String> names = new TreeSet<>(oldBlock.settings().keySet());
        names.addAll(newBlock.settings().keySet());
        for (String name : names) {
            List<Object> oldValues = oldBlock.settings().get(name);
            List<Object> newValues = newBlock.settings().get(name);
            if (!Objects.equals(oldValues, newValues)) {
                changes.add(
                        new Change(
                                what,
                                name,
                                formatOrEmpty(oldValues),
                                formatOrEmpty(newValues),
                                countAffectedVolumes(after, newBlock),
                                settingApplyMode(oldBlock.kind(), name)));
            }
        }
    }

    private static String formatOrEmpty(List<Object> values) {
        return values == null ? "" : Fleet.format(values);
    }

    private static ApplyMode settingApplyMode(String kind, String name) {
        Schema.Field field = Schema.KINDS.get(kind).get(name);
        return field.change() == Schema.Change.RESTART ? ApplyMode.RESTART : ApplyMode.IN_SERVICE;
    }

    /**
     * Returns how the addition or removal of a block is applied. The removal of a request class or
     * service plan is refused, because requests of it may be pending.
     */
    private static ApplyMode blockApplyMode(String kind, boolean isAdded) {
        return switch (kind) {
            case "category", "plan" -> isAdded ? ApplyMode.IN_SERVICE : ApplyMode.REFUSED;
            case "fleet", "bounds", "allowances" -> ApplyMode.RESTART;
            default -> ApplyMode.IN_SERVICE;
        };
    }

    private static String countAffectedVolumes(Fleet fleet, Fleet.Block block) {
        if (!block.kind().equals("plan") && !block.kind().equals("tenant")) {
            return "";
        }
        int volumes = 0;
        int patterns = 0;
        for (Fleet.Block volume : fleet.blocksOfKind("volume")) {
            if (!volume.text(block.kind()).equals(block.name())) {
                continue;
            }
            if (volume.name().endsWith("*")) {
                patterns++;
            } else {
                volumes++;
            }
        }
        String counted = volumes + (volumes == 1 ? " volume" : " volumes");
        if (patterns == 0) {
            return counted;
        }
        return counted + " and " + patterns + (patterns == 1 ? " pattern" : " patterns");
    }

    /** Compares routes index by index, because their order is significant. */
    private void compareRoutes() {
        int count = Math.max(before.routes().size(), after.routes().size());
        for (int i = 0; i < count; i++) {
            String oldRoute = formatRoute(before, i);
            String newRoute = formatRoute(after, i);
            if (!oldRoute.equals(newRoute)) {
                String what = "route " + (i + 1);
                changes.add(new Change(what, "", oldRoute, newRoute, "", ApplyMode.IN_SERVICE));
            }
        }
    }

    /** Formats the route at an index in the syntax of the language; empty if there is none. */
    private static String formatRoute(Fleet fleet, int index) {
        if (index >= fleet.routes().size()) {
            return "";
        }
        Fleet.Route route = fleet.routes().get(index);
        return route.matchType()
                + " "
                + Formatter.label(route.pattern())
                + " to "
                + Formatter.label(route.pool());
    }
}
