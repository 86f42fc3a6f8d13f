package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.stream.Collectors;
import milletyoke.admission.Admission;
import milletyoke.gateway.loop.Count;
import milletyoke.gateway.loop.Loop;
import milletyoke.gateway.loop.Told;
import milletyoke.gateway.setup.Setup;
import milletyoke.lifecycle.Condition;
import milletyoke.port.Provisioning;
import milletyoke.wire.Line;
import milletyoke.wire.proto.Access;
import milletyoke.wire.proto.Reason;

/**
 * What an access must pass on any entry before the decisions hear of it. What it turns away was
 * never taken, so trying it again is harmless. Any thread may ask.
 */
public final class Door {
    private static final int LONGEST_NAME = 512, MOST_HOSTS = 100_000;

    /** Why an access was not taken. */
    public record Refusal(Reason reason, Count count, long retryIn) {}

    private final Setup setup;
    private final Loop loop;
    private final Gate gate;
    private volatile Set<String> categories;
    private volatile Set<String> plans;
    private volatile boolean leaving;

    public Door(Setup setup, Loop loop, Gate gate) {
        this.setup = setup;
        this.loop = loop;
        this.gate = gate;
        provision(setup.deployment().provisioning());
    }

    /**
     * Accesses may name these categories and plans from now on; the decisions know them already.
     */
    public void provision(Provisioning given) {
        categories =
                given.categories().stream()
                        .map(Provisioning.Category::name)
                        .collect(Collectors.toSet());
        plans = given.plans().stream().map(Provisioning.Plan::name).collect(Collectors.toSet());
    }

    /** From now on nothing new is taken. */
    public void leave() {
        leaving = true;
    }

    /**
     * What would make the decisions keep state without bound, or has no meaning to them, is not.
     */
    public boolean acceptable(Access a) {
        return categories.contains(a.getCategory())
                && plans.contains(a.getPlan())
                && !a.getVolume().isEmpty()
                && a.getVolume().length() <= LONGEST_NAME
                && a.getExtent().length() <= LONGEST_NAME
                && a.getMark().length() <= LONGEST_NAME
                && a.getUnits() > 0
                && a.getUnits() <= setup.room().largest()
                && a.getTimeLeft() > 0
                && a.getTimeLeft() <= setup.room().longest()
                && a.getHosts() >= 0
                && a.getHosts() <= MOST_HOSTS
                && (!a.hasShard() || a.getShard() >= 0 && a.getShard() < setup.room().shards());
    }

    /**
     * Takes an acceptable access where there is a place.
     *
     * @param at when it came (microseconds): its time runs from then
     * @return null where it was taken
     */
    public Refusal admit(Line client, Access a, long at) {
        Condition condition = leaving ? Condition.LEAVING : loop.condition();
        if (!condition.admits()) {
            return new Refusal(reason(condition), Count.REJECTED_CONDITION, 0);
        }
        Admission.Verdict verdict = gate.ask(client, a, at);
        if (!verdict.admitted()) {
            boolean mayAdvise = setup.deployment().provisioning().allowances().advice();
            return new Refusal(Reason.NO_PLACE, Count.NO_PLACE, mayAdvise ? verdict.retryIn() : 0);
        }
        if (!loop.offer(new Told.Taken(client, a, at))) {
            gate.release(client, a, 0);
            return new Refusal(Reason.NO_PLACE, Count.NO_PLACE, 0);
        }
        return null;
    }

    private static Reason reason(Condition condition) {
        return switch (condition) {
            case LEAVING -> Reason.LEAVING;
            case DRAINING -> Reason.DRAINED;
            default -> Reason.NOT_READY;
        };
    }
}
