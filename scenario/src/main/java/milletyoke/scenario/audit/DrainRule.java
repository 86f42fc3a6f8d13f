package milletyoke.scenario.audit;

/**
 * Rule 3: an initiator sends no new attempt to a target later than the grace period after the
 * endpoint list reported the target draining or removed.
 */
final class DrainRule extends RuleCheck {
    private long longestDelay = -1;

    DrainRule() {
        super(3, "drain: no new attempt to a draining or removed target after the grace period");
    }

    @Override
    void onEndpointList(Incarnation incarnation, long atMicros) {
        tested +=
                incarnation.endpoints.values().stream()
                        .filter(endpoint -> endpoint.unavailableSince == atMicros)
                        .count();
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        Incarnation.ObservedEndpoint endpoint = request.incarnation.endpoints.get(attempt.target);
        if (endpoint != null && endpoint.unavailableSince >= 0) {
            long delay = attempt.atMicros - endpoint.unavailableSince;
            longestDelay = Math.max(longestDelay, delay);
            if (delay > settings.drainGraceMicros()) {
                recordViolation(
                        request.incarnation.initiator
                                + " sent an attempt to "
                                + attempt.target
                                + " "
                                + millis(delay)
                                + " after the endpoint list withdrew it",
                        endpoint.unavailableFrame,
                        attempt.frame);
            }
        }
    }

    @Override
    String closestCall() {
        return longestDelay < 0
                ? "no attempt was sent to a withdrawn target"
                : "the latest attempt was sent "
                        + millis(longestDelay)
                        + " after the target was withdrawn, at most "
                        + millis(settings.drainGraceMicros())
                        + " is allowed";
    }
}
