package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.TreeSet;

/**
 * The differences between two configurations, by meaning, and how a running initiator applies each.
 */
public final class FleetDiff {
    private static final String PRESENT = "there";

    private final Fleet before;
    private final Fleet after;
    private final List<Change> changes = new ArrayList<>();

    private FleetDiff(Fleet before, Fleet after) {
        this.before = before;
        this.after = after;
    }

    /** How a change is applied. */
    public enum ApplyMode {
        /** Without a restart. */
        IN_SERVICE,
        /** With the next start. */
        RESTART,
        /** Not at all while requests may be pending. */
        REFUSED
    }

    /**
     * One change. The names of the components are keys of {@code config diff --json}.
     *
     * @param what the block or route
     * @param setting empty where the whole block or route is added, removed or replaced
     * @param before the value in the first configuration; empty where it is unset
     * @param after the value in the second configuration; empty where it is unset
     * @param whom the volumes that it concerns, in words; empty where it concerns all
     * @param taken how it is applied
     */
    public record Change(
            String what,
            String setting,
            String before,
            String after,
            String whom,
            ApplyMode taken) {
        /** The change on one line, for people. */
        public String text() {
            String concerns = whom.isEmpty() ? "" : ", " + whom;
            String mode = taken.name().toLowerCase(Locale.ROOT).replace('_', ' ');
            return what + ": " + description() + concerns + "  [" + mode + "]";
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

    /** All changes by kind and name, then routes; empty if and only if both mean the same. */
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
                String volumes = concernedVolumes(after, newBlock);
                ApplyMode mode = modeOfBlock(newBlock.kind(), true);
                changes.add(new Change(key.trim(), "", "", PRESENT, volumes, mode));
            } else if (newBlock == null) {
                String volumes = concernedVolumes(before, oldBlock);
                ApplyMode mode = modeOfBlock(oldBlock.kind(), false);
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
                                concernedVolumes(after, newBlock),
                                modeOfSetting(oldBlock.kind(), name)));
            }
        }
    }

    private static String formatOrEmpty(List<Object> values) {
        return values == null ? "" : Fleet.format(values);
    }

    private static ApplyMode modeOfSetting(String kind, String name) {
        Schema.Field field = Schema.KINDS.get(kind).get(name);
        return field.change() == Schema.Change.RESTART ? ApplyMode.RESTART : ApplyMode.IN_SERVICE;
    }

    /**
     * Requests of a class or plan that is removed may be pending, so that is refused; one that is
     * added needs no care.
     */
    private static ApplyMode modeOfBlock(String kind, boolean isAdded) {
        return switch (kind) {
            case "category", "plan" -> isAdded ? ApplyMode.IN_SERVICE : ApplyMode.REFUSED;
            case "fleet", "bounds", "allowances" -> ApplyMode.RESTART;
            default -> ApplyMode.IN_SERVICE;
        };
    }

    private static String concernedVolumes(Fleet fleet, Fleet.Block block) {
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

    /** Compares routes place by place, as their order matters. */
    private void compareRoutes() {
        int count = Math.max(before.routes().size(), after.routes().size());
        for (int i = 0; i < count; i++) {
            String oldRoute = route(before, i);
            String newRoute = route(after, i);
            if (!oldRoute.equals(newRoute)) {
                String what = "route " + (i + 1);
                changes.add(new Change(what, "", oldRoute, newRoute, "", ApplyMode.IN_SERVICE));
            }
        }
    }

    /** A route as the language writes it; empty where there are fewer. */
    private static String route(Fleet fleet, int index) {
        if (index >= fleet.routes().size()) {
            return "";
        }
        Fleet.Route route = fleet.routes().get(index);
        return route.what()
                + " "
                + Formatter.label(route.pattern())
                + " to "
                + Formatter.label(route.pool());
    }
}
