package milletyoke.rehearsal.audit;

/**
 * Rule 3: nothing new to a target after the grace, once the initiator was told that it drains or is
 * gone.
 */
final class Drains extends Check {
    private long latest = -1;

    Drains() {
        super(3, "drains kept: nothing new to a draining or gone target after the grace");
    }

    @Override
    void listed(Life life, long at) {
        tested += life.list.values().stream().filter(l -> l.barredAt == at).count();
    }

    @Override
    void relayed(Seen seen, Seen.Sent sent) {
        Life.Listed listed = seen.life.list.get(sent.target);
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
