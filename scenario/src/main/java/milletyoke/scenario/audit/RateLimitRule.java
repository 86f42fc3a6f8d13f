package milletyoke.scenario.audit;

import java.util.HashMap;
import java.util.Map;

/** Rule 7: what all initiators together send for a volume stays within its plan's limit. */
final class RateLimitRule extends RuleCheck {
    private static final class Store {
        String plan;
        double units;
        long at;
        double asked;
        long askedAt;
    }

    private final Map<String, Store> stores = new HashMap<>();

    /** A new limit must hold, at all initiators, this long after it was stated (microseconds). */
    private static final long HOLDS_AFTER = 2_000_000;

    /** Limits stated later, and from when each must hold; until then the wider of both counts. */
    private record Stated(long from, Map<String, RuleSettings.Plan> plans) {}

    private final java.util.ArrayDeque<Stated> stated = new java.util.ArrayDeque<>();
    private Map<String, RuleSettings.Plan> inForce;
    private long changes;
    private double deepest;
    private String deepestOf = "";

    RateLimitRule() {
        super(7, "limits kept, all initiators together");
    }

    @Override
    void noted(String witness, milletyoke.wire.proto.Note note, long at, int frame) {
        if (note.getKind() == milletyoke.wire.proto.Note.Kind.RULES && inForce == null) {
            inForce = book.plans();
        } else if (note.getKind() == milletyoke.wire.proto.Note.Kind.RULES) {
            stated.addLast(new Stated(at + HOLDS_AFTER, RuleSettings.read(note.getText()).plans()));
            changes++;
        }
    }

    private void advance(long now) {
        while (!stated.isEmpty() && stated.peekFirst().from() <= now) {
            inForce = stated.removeFirst().plans();
            stores.forEach(
                    (volume, s) -> {
                        RuleSettings.Plan plan = inForce.get(s.plan);
                        s.units = Math.min(s.units, plan.depth());
                        s.asked = Math.min(s.asked, plan.depth());
                    });
        }
    }

    private RuleSettings.Plan plan(ObservedAttempts seen, long now) {
        advance(now);
        RuleSettings.Plan plan = inForce.get(seen.access.getPlan());
        for (Stated s : stated) {
            RuleSettings.Plan next = s.plans().get(seen.access.getPlan());
            plan =
                    plan == null || next == null
                            ? null
                            : new RuleSettings.Plan(
                                    Math.max(plan.rate(), next.rate()),
                                    Math.max(plan.depth(), next.depth()),
                                    Math.max(plan.slack(), next.slack()));
        }
        return plan == null || plan.rate() <= 0 ? null : plan;
    }

    private Store store(ObservedAttempts seen, RuleSettings.Plan plan, long at) {
        return stores.computeIfAbsent(
                seen.access.getVolume(),
                v -> {
                    Store s = new Store();
                    s.plan = seen.access.getPlan();
                    s.units = plan.depth();
                    s.asked = plan.depth();
                    s.at = at;
                    s.askedAt = at;
                    return s;
                });
    }

    /** A limit is put to the test when more is asked than it lets through. */
    @Override
    void taken(ObservedAttempts seen) {
        RuleSettings.Plan plan = plan(seen, seen.at);
        if (plan != null) {
            Store s = store(seen, plan, seen.at);
            s.asked = Math.min(plan.depth(), s.asked + plan.rate() * (seen.at - s.askedAt) / 1e6);
            s.askedAt = seen.at;
            s.asked -= seen.access.getUnits();
            if (s.asked < 0) {
                tested++;
                s.asked = Math.max(s.asked, -plan.depth());
            }
        }
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        RuleSettings.Plan plan = plan(seen, sent.at);
        if (plan == null || seen.drawn) {
            return;
        }
        seen.drawn = true;
        Store s = store(seen, plan, sent.at);
        s.units = Math.min(plan.depth(), s.units + plan.rate() * Math.max(0, sent.at - s.at) / 1e6);
        s.at = Math.max(s.at, sent.at);
        s.units -= seen.access.getUnits();
        double dip = plan.slack() > 0 ? -s.units / plan.slack() : s.units < 0 ? 2 : 0;
        if (dip > deepest) {
            deepest = dip;
            deepestOf = seen.access.getVolume();
        }
        if (dip > 1 + 1e-9) {
            breach(
                    String.format(
                            "%s was sent %.2f units beyond its limit, %.2f are the slack",
                            seen.access.getVolume(), -s.units, plan.slack()),
                    sent.frame);
        }
    }

    @Override
    String nearest() {
        String changed = changes > 0 ? changes + " changes of limits; " : "";
        return changed
                + (deepest <= 0
                        ? "no store went under 0"
                        : String.format(
                                "at most %.0f%% of the slack was used, by %s",
                                100 * deepest, deepestOf));
    }
}
