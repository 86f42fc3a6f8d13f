package milletyoke.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What changes from one configuration to another, by meaning, and how a running initiator takes it.
 */
public final class FleetDiff {
    /** How a change is taken. */
    public enum ApplyMode {
        IN_SERVICE,
        RESTART,
        REFUSED
    }

    /**
     * One change.
     *
     * @param what the block or route
     * @param setting empty where all of it comes or goes
     * @param whom whom it concerns, in words; empty where it is everybody
     */
    public record Change(
            String what,
            String setting,
            String before,
            String after,
            String whom,
            ApplyMode taken) {
        public String text() {
            String change =
                    setting.isEmpty()
                            ? before.isEmpty()
                                    ? "new"
                                    : after.isEmpty() ? "removed" : before + " -> " + after
                            : setting
                                    + " "
                                    + (before.isEmpty() ? "unset" : before)
                                    + " -> "
                                    + (after.isEmpty() ? "unset" : after);
            return what
                    + ": "
                    + change
                    + (whom.isEmpty() ? "" : ", " + whom)
                    + "  ["
                    + taken.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')
                    + "]";
        }
    }

    private FleetDiff() {}

    /** In the order of kinds and names; empty if and only if both mean the same. */
    public static List<Change> between(Fleet a, Fleet b) {
        List<Change> all = new ArrayList<>();
        TreeSet<String> keys = new TreeSet<>(a.blocks().keySet());
        keys.addAll(b.blocks().keySet());
        for (String key : keys) {
            Fleet.Block x = a.blocks().get(key), y = b.blocks().get(key);
            if (x == null || y == null) {
                Fleet.Block there = x == null ? y : x;
                all.add(
                        new Change(
                                key.trim(),
                                "",
                                x == null ? "" : "there",
                                y == null ? "" : "there",
                                whom(x == null ? b : a, there),
                                comesOrGoes(there, x == null)));
            } else {
                settings(all, a, b, key, x, y);
            }
        }
        routes(all, a, b);
        return all;
    }

    private static void settings(
            List<Change> all, Fleet a, Fleet b, String key, Fleet.Block x, Fleet.Block y) {
        TreeSet<String> names = new TreeSet<>(x.settings().keySet());
        names.addAll(y.settings().keySet());
        for (String name : names) {
            List<Object> before = x.settings().get(name), after = y.settings().get(name);
            if (!Objects.equals(before, after)) {
                Schema.Field field = Schema.KINDS.get(x.kind()).get(name);
                all.add(
                        new Change(
                                key.trim(),
                                name,
                                before == null ? "" : Fleet.written(before),
                                after == null ? "" : Fleet.written(after),
                                whom(b, y),
                                field.change() == Schema.Change.RESTART
                                        ? ApplyMode.RESTART
                                        : ApplyMode.IN_SERVICE));
            }
        }
    }

    /**
     * A category that goes may have accesses held: that is refused under traffic; one that comes
     * needs no care.
     */
    private static ApplyMode comesOrGoes(Fleet.Block block, boolean comes) {
        return switch (block.kind()) {
            case "category", "plan" -> comes ? ApplyMode.IN_SERVICE : ApplyMode.REFUSED;
            case "fleet", "bounds", "allowances" -> ApplyMode.RESTART;
            default -> ApplyMode.IN_SERVICE;
        };
    }

    private static String whom(Fleet fleet, Fleet.Block block) {
        if (!block.kind().equals("plan") && !block.kind().equals("tenant")) {
            return "";
        }
        long own =
                fleet.blocksOfKind("volume").stream()
                        .filter(
                                v ->
                                        v.text(block.kind()).equals(block.name())
                                                && !v.name().endsWith("*"))
                        .count();
        long patterns =
                fleet.blocksOfKind("volume").stream()
                        .filter(
                                v ->
                                        v.text(block.kind()).equals(block.name())
                                                && v.name().endsWith("*"))
                        .count();
        return own
                + (own == 1 ? " volume" : " volumes")
                + (patterns == 0
                        ? ""
                        : " and " + patterns + (patterns == 1 ? " pattern" : " patterns"));
    }

    /** Routes mean by their order. */
    private static void routes(List<Change> all, Fleet a, Fleet b) {
        if (a.routes().equals(b.routes())) {
            return;
        }
        int most = Math.max(a.routes().size(), b.routes().size());
        for (int i = 0; i < most; i++) {
            Fleet.Route x = i < a.routes().size() ? a.routes().get(i) : null;
            Fleet.Route y = i < b.routes().size() ? b.routes().get(i) : null;
            if (!Objects.equals(x, y)) {
                all.add(
                        new Change(
                                "route " + (i + 1),
                                "",
                                x == null ? "" : words(x),
                                y == null ? "" : words(y),
                                "",
                                ApplyMode.IN_SERVICE));
            }
        }
    }

    private static String words(Fleet.Route r) {
        return r.what() + " " + Formatter.label(r.pattern()) + " to " + Formatter.label(r.pool());
    }
}
