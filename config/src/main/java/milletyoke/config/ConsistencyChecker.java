package milletyoke.config;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import milletyoke.config.Quantity.Dimension;
import milletyoke.config.SyntaxTree.Position;

/**
 * Finds settings that are valid one by one and make no sense together. Runs only on a configuration
 * without errors.
 */
final class ConsistencyChecker {
    /** The part of a limit's slack that the scheduler may count on. */
    private static final double USABLE_SLACK = 0.9;

    private final Declarations declarations;
    private final DiagnosticCollector diagnostics;

    ConsistencyChecker(Declarations declarations, DiagnosticCollector diagnostics) {
        this.declarations = declarations;
        this.diagnostics = diagnostics;
    }

    void check(Fleet fleet) {
        Fleet.Block bounds = fleet.single("bounds");
        SyntaxTree.Block declared = declarations.block("bounds", "");
        checkBounds(bounds, declared == null ? declarations.start() : declared.at());
        for (Fleet.Block category : fleet.blocksOfKind("category")) {
            checkCategory(category, bounds);
        }
        for (Fleet.Block plan : fleet.blocksOfKind("plan")) {
            checkPlan(fleet, plan, bounds);
        }
        checkReservations(fleet);
    }

    private void checkBounds(Fleet.Block bounds, Position position) {
        double warmUp = bounds.number("cold");
        double overloadWindow = bounds.number("fall");
        if (overloadWindow > 0 && warmUp == 0) {
            diagnostics.error(
                    position,
                    "bounds",
                    "fall is stated and cold is not: no target would ever count as cold",
                    "cold 17s;");
        }
        if (warmUp > 0 && overloadWindow > warmUp) {
            diagnostics.error(
                    position,
                    "bounds",
                    "a target is warm before it could fall",
                    "fall must be under cold");
        }
        if (overloadWindow > 0 && bounds.number("cold-bears") < bounds.number("largest")) {
            diagnostics.warn(
                    position,
                    "bounds",
                    "cold-bears is under one largest access: a cold target may get nothing for long",
                    "");
        }
        if (bounds.number("relay-budget-span") > 0
                && bounds.number("relay-budget-free") < 1
                && bounds.number("relay-budget-share") == 0) {
            diagnostics.warn(
                    position, "bounds", "the relay budget allows no further relay at all", "");
        }
    }

    private void checkCategory(Fleet.Block category, Fleet.Block bounds) {
        Position position = declarations.block("category", category.name()).at();
        String subject = "category " + category.name();
        String repeats = category.text("repeats");
        double deduplicationWindow = category.number("repeat-window");
        if (repeats.equals("stamped") && deduplicationWindow == 0) {
            diagnostics.error(
                    position,
                    "category",
                    subject + " is stamped and states no repeat-window",
                    "repeat-window 2500ms;");
        }
        if (repeats.equals("one-shot") && deduplicationWindow > 0) {
            diagnostics.warn(
                    position,
                    "category",
                    subject
                            + " is one-shot: no relay may follow one that may have run, so its"
                            + " repeat-window is never used",
                    "stamped is what knows repeats");
        }
        if (category.flag("key-ordered") && bounds.number("key-quiet") == 0) {
            diagnostics.warn(
                    position,
                    "category",
                    subject + " is key-ordered and bounds state no key-quiet",
                    "after a time-out the next of its key goes at once");
        }
    }

    private void checkPlan(Fleet fleet, Fleet.Block plan, Fleet.Block bounds) {
        if (plan.number("limit-rate") == 0) {
            return;
        }
        Position position = declarations.block("plan", plan.name()).at();
        if (plan.number("limit-depth") == 0) {
            diagnostics.error(
                    position,
                    "limit",
                    "plan "
                            + plan.name()
                            + " has a limit-rate and no limit-depth: nothing could be sent",
                    "limit-depth 36u;");
            return;
        }
        if (plan.number("reserve") > plan.number("limit-rate")) {
            diagnostics.error(
                    position,
                    "limit",
                    "plan " + plan.name() + " reserves more than its limit lets through",
                    "");
        }
        checkLimitOfOneHost(fleet, plan, bounds.number("largest"), position);
    }

    /** Each host has its part of the limit, which must hold one request of the largest size. */
    private void checkLimitOfOneHost(
            Fleet fleet, Fleet.Block plan, double largestRequest, Position position) {
        double hosts =
                fleet.blocksOfKind("volume").stream()
                        .filter(volume -> volume.text("plan").equals(plan.name()))
                        .mapToDouble(volume -> volume.number("hosts"))
                        .max()
                        .orElse(1);
        double slack = USABLE_SLACK * plan.number("limit-slack");
        double part = (plan.number("limit-depth") + slack) / hosts;
        if (part < largestRequest) {
            diagnostics.warn(
                    position,
                    "limit",
                    String.format(
                            Locale.ROOT,
                            "plan %s: one host's part of the limit holds %s, under"
                                    + " one largest access of %s",
                            plan.name(),
                            new Quantity(Math.floor(part * 100) / 100, Dimension.UNITS),
                            new Quantity(largestRequest, Dimension.UNITS)),
                    "such an access could never be sent");
        }
    }

    /**
     * Compares each pool's capacity with the reservations of the volumes that are routed to it. A
     * pattern counts as one volume, as the number of volumes that match it is not known.
     */
    private void checkReservations(Fleet fleet) {
        Map<String, Double> reservedByPool = new TreeMap<>();
        for (Fleet.Block volume : fleet.blocksOfKind("volume")) {
            Fleet.Block plan = fleet.block("plan", volume.text("plan"));
            String pool = fleet.route("volume", volume.name());
            if (pool != null && plan != null) {
                reservedByPool.merge(pool, plan.number("reserve"), Double::sum);
            }
        }
        reservedByPool.forEach(
                (pool, reserved) -> {
                    double capacity = fleet.block("pool", pool).number("capacity");
                    if (capacity > 0 && reserved > capacity) {
                        reportOverbooked(pool, capacity, reserved);
                    }
                });
    }

    private void reportOverbooked(String pool, double capacity, double reserved) {
        diagnostics.error(
                declarations.block("pool", pool).at(),
                "reserve",
                "pool "
                        + pool
                        + " bears "
                        + new Quantity(capacity, Dimension.RATE)
                        + " and "
                        + new Quantity(reserved, Dimension.RATE)
                        + " are reserved on it",
                "");
    }
}
