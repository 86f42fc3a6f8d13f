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
    private record Stated(long from, Map<String, RuleSettings.PlanLimit> plans) {}

    private final java.util.ArrayDeque<Stated> stated = new java.util.ArrayDeque<>();
    private Map<String, RuleSettings.PlanLimit> inForce;
    private long changes;
    private double deepest;
    private String deepestOf = "";

    RateLimitRule() {
        super(7, "limits kept, all initiators together");
    }

    @Override
    void onNote(String witness, milletyoke.wire.proto.Note note, long at, int frame) {
        if (note.getKind() == milletyoke.wire.proto.Note.Kind.RULES && inForce == null) {
            inForce = settings.plans();
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
                        RuleSettings.PlanLimit plan = inForce.get(s.plan);
                        s.units = Math.min(s.units, plan.depth());
                        s.asked = Math.min(s.asked, plan.depth());
                    });
        }
    }

    private RuleSettings.PlanLimit plan(ObservedRequest request, long now) {
        advance(now);
        RuleSettings.PlanLimit plan = inForce.get(request.request.getPlan());
        for (Stated s : stated) {
            RuleSettings.PlanLimit next = s.plans().get(request.request.getPlan());
            plan =
                    plan == null || next == null
                            ? null
                            : new RuleSettings.PlanLimit(
                                    Math.max(plan.rate(), next.rate()),
                                    Math.max(plan.depth(), next.depth()),
                                    Math.max(plan.slack(), next.slack()));
        }
        return plan == null || plan.rate() <= 0 ? null : plan;
    }

    private Store store(ObservedRequest request, RuleSettings.PlanLimit plan, long at) {
        return stores.computeIfAbsent(
                request.request.getVolume(),
                v -> {
                    Store s = new Store();
                    s.plan = request.request.getPlan();
                    s.units = plan.depth();
                    s.asked = plan.depth();
                    s.at = at;
                    s.askedAt = at;
                    return s;
                });
    }

    /** A limit is put to the test when more is asked than it lets through. */
    @Override
    void onRequest(ObservedRequest request) {
        RuleSettings.PlanLimit plan = plan(request, request.at);
        if (plan != null) {
            Store s = store(request, plan, request.at);
            s.asked =
                    Math.min(plan.depth(), s.asked + plan.rate() * (request.at - s.askedAt) / 1e6);
            s.askedAt = request.at;
            s.asked -= request.request.getUnits();
            if (s.asked < 0) {
                tested++;
                s.asked = Math.max(s.asked, -plan.depth());
            }
        }
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        RuleSettings.PlanLimit plan = plan(request, attempt.at);
        if (plan == null || request.drawn) {
            return;
        }
        request.drawn = true;
        Store s = store(request, plan, attempt.at);
        s.units =
                Math.min(
                        plan.depth(), s.units + plan.rate() * Math.max(0, attempt.at - s.at) / 1e6);
        s.at = Math.max(s.at, attempt.at);
        s.units -= request.request.getUnits();
        double dip = plan.slack() > 0 ? -s.units / plan.slack() : s.units < 0 ? 2 : 0;
        if (dip > deepest) {
            deepest = dip;
            deepestOf = request.request.getVolume();
        }
        if (dip > 1 + 1e-9) {
            recordViolation(
                    String.format(
                            "%s was sent %.2f units beyond its limit, %.2f are the slack",
                            request.request.getVolume(), -s.units, plan.slack()),
                    attempt.frame);
        }
    }

    @Override
    String closestCall() {
        String changed = changes > 0 ? changes + " changes of limits; " : "";
        return changed
                + (deepest <= 0
                        ? "no store went under 0"
                        : String.format(
                                "at most %.0f%% of the slack was used, by %s",
                                100 * deepest, deepestOf));
    }
}
