package milletyoke.scenario.audit;

/**
 * Rule 3: nothing new to a target after the grace, once the initiator was told that it drains or is
 * gone.
 */
final class DrainRule extends RuleCheck {
    private long latest = -1;

    DrainRule() {
        super(3, "drains kept: nothing new to a draining or gone target after the grace");
    }

    @Override
    void onEndpointList(Incarnation incarnation, long at) {
        tested +=
                incarnation.endpoints.values().stream()
                        .filter(l -> l.unavailableSince == at)
                        .count();
    }

    @Override
    void onAttempt(ObservedRequest request, ObservedRequest.ObservedAttempt attempt) {
        Incarnation.ObservedEndpoint listed = request.incarnation.endpoints.get(attempt.target);
        if (listed != null && listed.unavailableSince >= 0) {
            long after = attempt.at - listed.unavailableSince;
            latest = Math.max(latest, after);
            if (after > settings.drainGraceMicros()) {
                recordViolation(
                        request.incarnation.initiator
                                + " sent to "
                                + attempt.target
                                + " "
                                + millis(after)
                                + " after it was told not to",
                        listed.unavailableFrame,
                        attempt.frame);
            }
        }
    }

    @Override
    String closestCall() {
        return latest < 0
                ? "nothing was sent after the word"
                : "the latest relay left "
                        + millis(latest)
                        + " after the word, "
                        + millis(settings.drainGraceMicros())
                        + " are allowed";
    }
}
