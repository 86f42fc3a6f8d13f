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
 * Validates requests and admits them to the event loop. A request that is rejected here was never
 * executed, so its client may safely retry it. Thread-safe.
 */
public final class RequestAdmission {
    private static final int MAX_NAME_LENGTH = 512;
    private static final int MAX_INITIATOR_COUNT = 100_000;

    /** Why a request was not admitted; {@code retryAfterMicros} is 0 if no delay is suggested. */
    public record Rejection(Reason reason, Counter counter, long retryAfterMicros) {}

    private final InitiatorConfig config;
    private final EventLoop loop;
    private final ConcurrentAdmission admission;
    private volatile Set<String> requestClasses;
    private volatile Set<String> plans;
    private volatile boolean isStopped;

    /** Creates an admission for the request classes and plans of the configuration. */
    public RequestAdmission(InitiatorConfig config, EventLoop loop, ConcurrentAdmission admission) {
        this.config = config;
        this.loop = loop;
        this.admission = admission;
        applySettings(config.deployment().scheduler());
    }

    /**
     * Sets the request classes and plans that requests may name; the scheduler must have them
     * already.
     */
    public void applySettings(SchedulerSettings settings) {
        requestClasses =
                settings.requestClasses().stream()
                        .map(SchedulerSettings.RequestClass::name)
                        .collect(Collectors.toSet());
        plans =
                settings.plans().stream()
                        .map(SchedulerSettings.ServicePlan::name)
                        .collect(Collectors.toSet());
    }

    /** Rejects all further requests, because the process shuts down. */
    public void stopAdmitting() {
        isStopped = true;
    }

    /**
     * Whether a request is valid: its class and plan are configured, its values are in range, and
     * its names are bounded in length, which bounds the state kept for them.
     */
    public boolean validate(Request request) {
        return hasKnownNames(request) && hasBoundedNames(request) && hasValuesInRange(request);
    }

    private boolean hasKnownNames(Request request) {
        return requestClasses.contains(request.getRequestClass())
                && plans.contains(request.getPlan());
    }

    private static boolean hasBoundedNames(Request request) {
        return !request.getVolume().isEmpty()
                && request.getVolume().length() <= MAX_NAME_LENGTH
                && request.getExtent().length() <= MAX_NAME_LENGTH
                && request.getIdempotencyKey().length() <= MAX_NAME_LENGTH;
    }

    private boolean hasValuesInRange(Request request) {
        InitiatorConfig.CapacityLimits limits = config.capacity();
        return request.getUnits() > 0
                && request.getUnits() <= limits.maxRequestUnits()
                && request.getTimeLeftMicros() > 0
                && request.getTimeLeftMicros() <= limits.maxTimeLeftMicros()
                && request.getInitiatorCount() >= 0
                && request.getInitiatorCount() <= MAX_INITIATOR_COUNT
                && (!request.hasShard()
                        || (request.getShard() >= 0 && request.getShard() < limits.shardCount()));
    }

    /**
     * Admits a valid request if a slot is free, and passes it to the event loop.
     *
     * @param receivedAtMicros when the request was received; its deadline counts from then
     * @return null if the request was admitted
     */
    public Rejection admit(Connection client, Request request, long receivedAtMicros) {
        LifecycleState state = isStopped ? LifecycleState.LEAVING : loop.lifecycleState();
        if (!state.admits()) {
            return new Rejection(reason(state), Counter.REJECTED_STATE, 0);
        }
        Admission.Verdict verdict = admission.tryAcquire(client, request, receivedAtMicros);
        if (!verdict.admitted()) {
            return noCapacity(suggestedRetryAfterMicros(verdict));
        }
        if (!loop.offer(new LoopMessage.RequestReceived(client, request, receivedAtMicros))) {
            admission.release(client, request, 0);
            return noCapacity(0);
        }
        return null;
    }

    private static Rejection noCapacity(long retryAfterMicros) {
        return new Rejection(Reason.NO_CAPACITY, Counter.REJECTED_CAPACITY, retryAfterMicros);
    }

    private long suggestedRetryAfterMicros(Admission.Verdict verdict) {
        boolean canSuggest = config.deployment().scheduler().capabilities().canSuggestRetryAfter();
        return canSuggest ? verdict.retryAfterMicros() : 0;
    }

    private static Reason reason(LifecycleState state) {
        return switch (state) {
            case LEAVING -> Reason.SHUTTING_DOWN;
            case DRAINING -> Reason.DRAINED;
            default -> Reason.NOT_READY;
        };
    }
}
