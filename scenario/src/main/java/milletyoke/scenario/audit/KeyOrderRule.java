package milletyoke.scenario.audit;

import java.util.ArrayDeque;

/**
 * Rule 5: accesses of one key run one at a time, in the order taken, with a rest after what may
 * still run.
 */
final class KeyOrderRule extends RuleCheck {
    private long least = Long.MAX_VALUE;

    KeyOrderRule() {
        super(5, "order per key, with rest after time-out, reset and cancel");
    }

    @Override
    void taken(ObservedAttempts seen) {
        if (applies(seen)) {
            seen.life
                    .keys
                    .computeIfAbsent(seen.access.getExtent(), k -> new ArrayDeque<>())
                    .addLast(seen);
        }
    }

    private boolean applies(ObservedAttempts seen) {
        RuleSettings.Category c = book.categories().get(seen.access.getRequestClass());
        return c != null && c.ordered() && !seen.access.getExtent().isEmpty();
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        if (!applies(seen)) {
            return;
        }
        ArrayDeque<ObservedAttempts> turn = seen.life.keys.get(seen.access.getExtent());
        String key = seen.access.getExtent();
        // Guards against one that is sent though its turn is long over and nobody of its key is
        // left: rule 1 names that.
        while (!turn.isEmpty() && turn.peekFirst() != seen && isDone(turn.peekFirst(), sent.at)) {
            rest(turn.removeFirst(), key, sent.at);
        }
        for (ObservedAttempts before : turn) {
            if (before == seen) {
                break;
            }
            rest(before, key, sent.at);
            if (!isDone(before, sent.at)) {
                breach(
                        seen.id + " was sent before " + before.id + " of the same key was over",
                        before.frame,
                        sent.frame);
            }
        }
        tested += turn.size() > 1 ? 1 : 0;
        Long unsure = seen.life.keyUnsure.get(key);
        if (unsure != null && seen.relays.size() == 1) {
            long spare = sent.at - (unsure + book.keyQuiet());
            tested++;
            least = Math.min(least, spare);
            if (spare < 0) {
                breach(
                        seen.id + " was sent " + millis(-spare) + " before its key had rested",
                        sent.frame);
            }
        }
    }

    private static boolean isDone(ObservedAttempts seen, long now) {
        return seen.isOver() && seen.relays.stream().allMatch(s -> s.hasEnded(now));
    }

    private static void rest(ObservedAttempts seen, String key, long now) {
        for (ObservedAttempts.Sent s : seen.relays) {
            long since = s.unsureSince(now);
            if (since >= 0) {
                seen.life.keyUnsure.merge(key, since, Math::max);
            }
        }
    }

    @Override
    String nearest() {
        return least == Long.MAX_VALUE
                ? "no key had to rest"
                : "after a rest, the next left " + millis(least) + " later than it might";
    }
}
