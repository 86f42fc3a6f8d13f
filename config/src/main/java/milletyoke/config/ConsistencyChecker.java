package milletyoke.config;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import milletyoke.config.Quantity.Dimension;
import milletyoke.config.SyntaxTree.Position;

/**
 * Finds settings that are valid individually and inconsistent with each other. Runs only on a
 * configuration without errors.
 */
final class ConsistencyChecker {
    /** The fraction of a plan's {@code limit-slack} that the scheduler uses. */
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
        checkBounds(bounds, declared == null ? declarations.start() : declared.position());
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
                    "fall is set but cold is not: no target would ever be in slow start",
                    "cold 17s;");
        }
        if (warmUp > 0 && overloadWindow > warmUp) {
            diagnostics.error(
                    position,
                    "bounds",
                    "fall is longer than cold: slow start would end within one overload window",
                    "fall must not exceed cold");
        }
        if (overloadWindow > 0 && bounds.number("cold-bears") < bounds.number("largest")) {
            diagnostics.warn(
                    position,
                    "bounds",
                    "cold-bears is below largest: a target in slow start may get no request for long",
                    "");
        }
        if (bounds.number("relay-budget-span") > 0
                && bounds.number("relay-budget-free") < 1
                && bounds.number("relay-budget-share") == 0) {
            diagnostics.warn(position, "bounds", "the relay budget allows no retry at all", "");
        }
    }

    private void checkCategory(Fleet.Block category, Fleet.Block bounds) {
        Position position = declarations.block("category", category.name()).position();
        String blockName = "category " + category.name();
        String repeats = category.text("repeats");
        double deduplicationWindow = category.number("repeat-window");
        if (repeats.equals("stamped") && deduplicationWindow == 0) {
            diagnostics.error(
                    position,
                    "category",
                    blockName + " has repeats stamped but no repeat-window",
                    "repeat-window 2500ms;");
        }
        if (repeats.equals("one-shot") && deduplicationWindow > 0) {
            diagnostics.warn(
                    position,
                    "category",
                    blockName
                            + " has repeats one-shot: an attempt that may have been executed is"
                            + " never retried, so repeat-window has no effect",
                    "repeat-window is used only with repeats stamped");
        }
        if (category.flag("key-ordered") && bounds.number("key-quiet") == 0) {
            diagnostics.warn(
                    position,
                    "category",
                    blockName + " is key-ordered but bounds set no key-quiet",
                    "after a time-out the next request of the same key is sent at once");
        }
    }

    private void checkPlan(Fleet fleet, Fleet.Block plan, Fleet.Block bounds) {
        if (plan.number("limit-rate") == 0) {
            return;
        }
        Position position = declarations.block("plan", plan.name()).position();
        if (plan.number("limit-depth") == 0) {
            diagnostics.error(
                    position,
                    "limit",
                    "plan "
                            + plan.name()
                            + " has a limit-rate but no limit-depth: no request could be sent",
                    "limit-depth 36u;");
            return;
        }
        if (plan.number("reserve") > plan.number("limit-rate")) {
            diagnostics.error(
                    position,
                    "limit",
                    "plan " + plan.name() + " reserves more than its limit-rate",
                    "");
        }
        checkLimitPerHost(fleet, plan, bounds.number("largest"), position);
    }

    /**
     * Warns if one host's part of a plan's limit cannot admit a request of the largest size. The
     * limit is divided equally between the hosts.
     */
    private void checkLimitPerHost(
            Fleet fleet, Fleet.Block plan, double largestRequest, Position position) {
        double hosts =
                fleet.blocksOfKind("volume").stream()
                        .filter(volume -> volume.text("plan").equals(plan.name()))
                        .mapToDouble(volume -> volume.number("hosts"))
                        .max()
                        .orElse(1);
        double slack = USABLE_SLACK * plan.number("limit-slack");
        double limitPerHost = (plan.number("limit-depth") + slack) / hosts;
        if (limitPerHost < largestRequest) {
            diagnostics.warn(
                    position,
                    "limit",
                    String.format(
                            Locale.ROOT,
                            "plan %s: one host's part of the limit is %s, less than"
                                    + " the largest request of %s",
                            plan.name(),
                            new Quantity(Math.floor(limitPerHost * 100) / 100, Dimension.UNITS),
                            new Quantity(largestRequest, Dimension.UNITS)),
                    "such a request could never be sent");
        }
    }

    /**
     * Compares each pool's capacity with the reservations of the volumes that are routed to it. A
     * pattern counts as one volume, because the number of matching volumes is unknown.
     */
    private void checkReservations(Fleet fleet) {
        Map<String, Double> reservedByPool = new TreeMap<>();
        for (Fleet.Block volume : fleet.blocksOfKind("volume")) {
            Fleet.Block plan = fleet.block("plan", volume.text("plan"));
            String pool = fleet.poolFor("volume", volume.name());
            if (pool != null && plan != null) {
                reservedByPool.merge(pool, plan.number("reserve"), Double::sum);
            }
        }
        reservedByPool.forEach(
                (pool, reserved) -> {
                    double capacity = fleet.block("pool", pool).number("capacity");
                    if (capacity > 0 && reserved > capacity) {
                        reportOverReservation(pool, capacity, reserved);
                    }
                });
    }

    private void reportOverReservation(String pool, double capacity, double reserved) {
        diagnostics.error(
                declarations.block("pool", pool).position(),
                "reserve",
                "pool "
                        + pool
                        + " has a capacity of "
                        + new Quantity(capacity, Dimension.RATE)
                        + " but "
                        + new Quantity(reserved, Dimension.RATE)
                        + " are reserved",
                "");
    }
}
