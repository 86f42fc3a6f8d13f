package milletyoke.scenario.audit;

import java.util.HashMap;
import java.util.Map;

/**
 * Rule 7: the units that all initiators together send for a volume stay within the limit of its
 * plan.
 */
final class RateLimitRule extends RuleCheck {
    private static final class TokenBucket {
        String plan;
        double tokens;
        long updatedAtMicros;
        double demandTokens;
        long demandUpdatedAtMicros;
    }

    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** All initiators must enforce a new limit this long after it was recorded. */
    private static final long CHANGE_GRACE_MICROS = 2_000_000;

    /**
     * Changed limits and the time from which they are checked; until then the wider of the old and
     * the new limit applies.
     */
    private record LimitChange(long fromMicros, Map<String, RuleSettings.PlanLimit> plans) {}

    private final java.util.ArrayDeque<LimitChange> pendingChanges = new java.util.ArrayDeque<>();
    private Map<String, RuleSettings.PlanLimit> activePlans;
    private long changeCount;
    private double highestSlackUse;
    private String highestSlackUseVolume = "";

    RateLimitRule() {
        super(7, "plan limits, all initiators together");
    }

    @Override
    void onNote(String observer, milletyoke.wire.proto.Note note, long atMicros, int frame) {
        if (note.getKind() == milletyoke.wire.proto.Note.Kind.RULES && activePlans == null) {
            activePlans = settings.plans();
        } else if (note.getKind() == milletyoke.wire.proto.Note.Kind.RULES) {
            pendingChanges.addLast(
                    new LimitChange(
                            atMicros + CHANGE_GRACE_MICROS,
                            RuleSettings.read(note.getText()).plans()));
            changeCount++;
        }
    }

    private void applyChanges(long nowMicros) {
        while (!pendingChanges.isEmpty() && pendingChanges.peekFirst().fromMicros() <= nowMicros) {
            activePlans = pendingChanges.removeFirst().plans();
            buckets.forEach(
                    (volume, bucket) -> {
                        RuleSettings.PlanLimit plan = activePlans.get(bucket.plan);
                        bucket.tokens = Math.min(bucket.tokens, plan.depth());
                        bucket.demandTokens = Math.min(bucket.demandTokens, plan.depth());
                    });
        }
    }

    private RuleSettings.PlanLimit plan(ObservedRequest request, long nowMicros) {
        applyChanges(nowMicros);
        RuleSettings.PlanLimit plan = activePlans.get(request.request.getPlan());
        for (LimitChange change : pendingChanges) {
            RuleSettings.PlanLimit next = change.plans().get(request.request.getPlan());
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

    private TokenBucket bucket(
            ObservedRequest request, RuleSettings.PlanLimit plan, long atMicros) {
        return buckets.computeIfAbsent(
                request.request.getVolume(),
                volume -> {
                    TokenBucket bucket = new TokenBucket();
                    bucket.plan = request.request.getPlan();
                    bucket.tokens = plan.depth();
                    bucket.demandTokens = plan.depth();
                    bucket.updatedAtMicros = atMicros;
                    bucket.demandUpdatedAtMicros = atMicros;
                    return bucket;
                });
    }

    /** Counts a test of the limit if the demand exceeds it. */
    @Override
    void onRequest(ObservedRequest request) {
        RuleSettings.PlanLimit plan = plan(request, request.atMicros);
        if (plan != null) {
            TokenBucket bucket = bucket(request, plan, request.atMicros);
            bucket.demandTokens =
                    Math.min(
                            plan.depth(),
                            bucket.demandTokens
                                    + plan.rate()
                                            * (request.atMicros - bucket.demandUpdatedAtMicros)
                                            / 1e6);
            bucket.demandUpdatedAtMicros = request.atMicros;
            bucket.demandTokens -= request.request.getUnits();
            if (bucket.demandTokens < 0) {
                tested++;
                bucket.demandTokens = Math.max(bucket.demandTokens, -plan.depth());
            }
        }
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        RuleSettings.PlanLimit plan = plan(request, attempt.atMicros);
        if (plan == null || request.isCharged) {
            return;
        }
        request.isCharged = true;
        TokenBucket bucket = bucket(request, plan, attempt.atMicros);
        bucket.tokens =
                Math.min(
                        plan.depth(),
                        bucket.tokens
                                + plan.rate()
                                        * Math.max(0, attempt.atMicros - bucket.updatedAtMicros)
                                        / 1e6);
        bucket.updatedAtMicros = Math.max(bucket.updatedAtMicros, attempt.atMicros);
        bucket.tokens -= request.request.getUnits();
        double slackUse =
                plan.slack() > 0 ? -bucket.tokens / plan.slack() : bucket.tokens < 0 ? 2 : 0;
        if (slackUse > highestSlackUse) {
            highestSlackUse = slackUse;
            highestSlackUseVolume = request.request.getVolume();
        }
        if (slackUse > 1 + 1e-9) {
            recordViolation(
                    String.format(
                            "volume %s was sent %.2f units beyond its limit, slack is %.2f units",
                            request.request.getVolume(), -bucket.tokens, plan.slack()),
                    attempt.frame);
        }
    }

    @Override
    String closestCall() {
        String changeText = changeCount > 0 ? changeCount + " limit changes; " : "";
        return changeText
                + (highestSlackUse <= 0
                        ? "no slack was used"
                        : String.format(
                                "at most %.0f%% of the slack was used, by volume %s",
                                100 * highestSlackUse, highestSlackUseVolume));
    }
}
