package milletyoke.gateway.ingress;

import java.util.Set;
import java.util.stream.Collectors;
import milletyoke.admission.Admission;
import milletyoke.gateway.config.InitiatorConfig;
import milletyoke.gateway.loop.Counter;
import milletyoke.gateway.loop.EventLoop;
import milletyoke.gateway.loop.LoopMessage;
import milletyoke.lifecycle.LifecycleState;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.wire.Connection;
import milletyoke.wire.proto.Reason;
import milletyoke.wire.proto.Request;

/**
 * What an access must pass on any entry before the decisions hear of it. What it turns away was
 * never taken, so trying it again is harmless. Any thread may ask.
 */
public final class RequestAdmission {
    private static final int LONGEST_NAME = 512, MOST_HOSTS = 100_000;

    /** Why an access was not taken. */
    public record Rejection(Reason reason, Counter counter, long retryAfterMicros) {}

    private final InitiatorConfig setup;
    private final EventLoop loop;
    private final ConcurrentAdmission gate;
    private volatile Set<String> categories;
    private volatile Set<String> plans;
    private volatile boolean leaving;

    public RequestAdmission(InitiatorConfig setup, EventLoop loop, ConcurrentAdmission gate) {
        this.setup = setup;
        this.loop = loop;
        this.gate = gate;
        applySettings(setup.deployment().scheduler());
    }

    /**
     * Accesses may name these categories and plans from now on; the decisions know them already.
     */
    public void applySettings(SchedulerSettings given) {
        categories =
                given.requestClasses().stream()
                        .map(SchedulerSettings.RequestClass::name)
                        .collect(Collectors.toSet());
        plans =
                given.plans().stream()
                        .map(SchedulerSettings.ServicePlan::name)
                        .collect(Collectors.toSet());
    }

    /** From now on nothing new is taken. */
    public void stopAdmitting() {
        leaving = true;
    }

    /**
     * What would make the decisions keep state without bound, or has no meaning to them, is not.
     */
    public boolean validate(Request a) {
        return categories.contains(a.getRequestClass())
                && plans.contains(a.getPlan())
                && !a.getVolume().isEmpty()
                && a.getVolume().length() <= LONGEST_NAME
                && a.getExtent().length() <= LONGEST_NAME
                && a.getIdempotencyKey().length() <= LONGEST_NAME
                && a.getUnits() > 0
                && a.getUnits() <= setup.capacity().largest()
                && a.getTimeLeftMicros() > 0
                && a.getTimeLeftMicros() <= setup.capacity().longest()
                && a.getInitiatorCount() >= 0
                && a.getInitiatorCount() <= MOST_HOSTS
                && (!a.hasShard() || a.getShard() >= 0 && a.getShard() < setup.capacity().shards());
    }

    /**
     * Takes an acceptable access where there is a place.
     *
     * @param at when it came (microseconds): its time runs from then
     * @return null where it was taken
     */
    public Rejection admit(Connection client, Request a, long at) {
        LifecycleState condition = leaving ? LifecycleState.LEAVING : loop.lifecycleState();
        if (!condition.admits()) {
            return new Rejection(reason(condition), Counter.REJECTED_STATE, 0);
        }
        Admission.Verdict verdict = gate.tryAcquire(client, a, at);
        if (!verdict.admitted()) {
            boolean mayAdvise =
                    setup.deployment().scheduler().capabilities().canSuggestRetryAfter();
            return new Rejection(
                    Reason.NO_CAPACITY,
                    Counter.REJECTED_CAPACITY,
                    mayAdvise ? verdict.retryAfterMicros() : 0);
        }
        if (!loop.offer(new LoopMessage.RequestReceived(client, a, at))) {
            gate.release(client, a, 0);
            return new Rejection(Reason.NO_CAPACITY, Counter.REJECTED_CAPACITY, 0);
        }
        return null;
    }

    private static Reason reason(LifecycleState condition) {
        return switch (condition) {
            case LEAVING -> Reason.SHUTTING_DOWN;
            case DRAINING -> Reason.DRAINED;
            default -> Reason.NOT_READY;
        };
    }
}
