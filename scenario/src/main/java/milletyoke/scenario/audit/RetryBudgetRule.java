package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/** Rule 6: relays beyond each access's first stay within the budget of any span. */
final class RetryBudgetRule extends RuleCheck {
    /** Sockets and loop tell the same moment a little apart (microseconds). */
    private static final long APART = 20_000;

    private double highest;

    RetryBudgetRule() {
        super(6, "relay budget kept");
    }

    @Override
    void taken(ObservedAttempts seen) {
        seen.life.taken.addLast(seen.at);
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        if (book.budgetSpan() == 0 || sent.relay.getAttemptNumber() == 0) {
            return;
        }
        tested++;
        seen.life.further.addLast(sent.at);
        long further = within(seen.life.further, sent.at - book.budgetSpan() + APART);
        long taken = within(seen.life.taken, sent.at - book.budgetSpan() - APART);
        double may = book.budgetFree() + book.budgetShare() * taken;
        highest = Math.max(highest, further / may);
        if (further > may) {
            breach(
                    String.format(
                            "%s made %d further relays in one span, %.1f are allowed",
                            seen.life.initiator, further, may),
                    sent.frame);
        }
    }

    private static long within(ArrayDeque<Long> times, long since) {
        while (!times.isEmpty() && times.peekFirst() <= since) {
            times.removeFirst();
        }
        return times.size();
    }

    @Override
    String nearest() {
        return book.budgetSpan() == 0
                ? "no budget is stated"
                : String.format("at most %.0f%% of the budget was used", 100 * highest);
    }
}
