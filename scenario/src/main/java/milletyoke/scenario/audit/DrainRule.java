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
    void listed(Incarnation life, long at) {
        tested += life.list.values().stream().filter(l -> l.barredAt == at).count();
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        Incarnation.Listed listed = seen.life.list.get(sent.target);
        if (listed != null && listed.barredAt >= 0) {
            long after = sent.at - listed.barredAt;
            latest = Math.max(latest, after);
            if (after > book.drainGrace()) {
                breach(
                        seen.life.initiator
                                + " sent to "
                                + sent.target
                                + " "
                                + millis(after)
                                + " after it was told not to",
                        listed.barredFrame,
                        sent.frame);
            }
        }
    }

    @Override
    String nearest() {
        return latest < 0
                ? "nothing was sent after the word"
                : "the latest relay left "
                        + millis(latest)
                        + " after the word, "
                        + millis(book.drainGrace())
                        + " are allowed";
    }
}
