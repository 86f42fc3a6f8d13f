package milletyoke.scenario.audit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Outcome;
import milletyoke.wire.proto.Response;
import milletyoke.wire.proto.ResponseStatus;

/** Rule 2: nothing has its effect twice, and no two relays of one access are out together. */
final class SingleExecutionRule extends RuleCheck {
    private record Ran(String where, int frame) {}

    private final Map<String, Ran> ran = new HashMap<>();
    private double windowUsed;
    private long unsure;

    SingleExecutionRule() {
        super(2, "no effect twice: repeats only as the category allows, one relay out at a time");
    }

    private RuleSettings.Category category(ObservedAttempts seen) {
        RuleSettings.Category known = book.categories().get(seen.access.getRequestClass());
        if (known == null && seen.relays.isEmpty()) {
            return new RuleSettings.Category(
                    "harmless", "all", 0, false); // never taken: it named no category of ours
        }
        if (known == null) {
            throw new IllegalArgumentException(
                    "a relay of category "
                            + seen.access.getRequestClass()
                            + ", of which the recording's rules know nothing");
        }
        return known;
    }

    @Override
    void relayed(ObservedAttempts seen, ObservedAttempts.Sent sent) {
        int k = seen.relays.size() - 1;
        if (sent.relay.getAttemptNumber() >= book.maxRelays()) {
            breach(
                    "relay "
                            + sent.relay.getAttemptNumber()
                            + " of "
                            + seen.id
                            + ", "
                            + book.maxRelays()
                            + " are the most",
                    sent.frame);
        }
        for (ObservedAttempts.Sent before : seen.relays.subList(0, k)) {
            if (!before.hasEnded(sent.at)) {
                breach("two relays of " + seen.id + " out together", before.frame, sent.frame);
            }
        }
        if (!seen.mayHaveRun(k, sent.at)) {
            return;
        }
        RuleSettings.Category category = category(seen);
        ObservedAttempts.Sent first =
                seen.relays.stream().filter(s -> s.mayHaveRun(sent.at)).findFirst().orElseThrow();
        if (category.repeats().equals("one_shot")) {
            breach(
                    "one-shot " + seen.id + " relayed again though it may have run",
                    first.frame,
                    sent.frame);
        } else if (category.repeats().equals("stamped")) {
            windowUsed = Math.max(windowUsed, (sent.at - first.at) / (double) category.window());
            if (sent.at > first.at + category.window()) {
                breach(
                        "stamped "
                                + seen.id
                                + " relayed again "
                                + millis(sent.at - first.at)
                                + " after it may have run first",
                        first.frame,
                        sent.frame);
            }
            if (!sameGroup(seen.life, category, first.target, sent.target)) {
                breach(
                        "stamped "
                                + seen.id
                                + " relayed to "
                                + sent.target
                                + ", which does not share the marks of "
                                + first.target,
                        first.frame,
                        sent.frame);
            }
        }
    }

    private static boolean sameGroup(
            Incarnation life, RuleSettings.Category category, String one, String other) {
        Incarnation.Listed a = life.list.get(one), b = life.list.get(other);
        if (category.group().equals("all") || one.equals(other)) {
            return true;
        }
        if (a == null || b == null) {
            return false;
        }
        return category.group().equals("zone")
                ? a.entry.getZone().equals(b.entry.getZone())
                : a.entry.getShard() == b.entry.getShard();
    }

    @Override
    void answered(ObservedAttempts seen, Response answer, long at, int frame) {
        for (ObservedAttempts.Sent s :
                category(seen).harmless() ? List.<ObservedAttempts.Sent>of() : seen.relays) {
            tested += s.outcome == Outcome.SUCCEEDED ? 0 : 1;
            unsure += s.outcome != Outcome.SUCCEEDED && s.mayHaveRun(at) ? 1 : 0;
        }
        if (answer.getStatus() != ResponseStatus.REJECTED
                || !seen.mayHaveRun(seen.relays.size(), at)) {
            return;
        }
        RuleSettings.Category category = category(seen);
        boolean repeatsDropped =
                category.repeats().equals("stamped") && category.group().equals("all");
        if (!category.harmless() && !repeatsDropped) {
            breach(
                    seen.id + " of " + category.repeats() + " rejected though it may have run",
                    frame);
        }
    }

    /** The targets' own word: each run of an access, by its mark. */
    @Override
    void noted(String witness, Note note, long at, int frame) {
        if (note.getKind() != Note.Kind.EXECUTED) {
            return;
        }
        int blank = note.getText().lastIndexOf(' ');
        RuleSettings.Category category = book.categories().get(note.getText().substring(blank + 1));
        if (category != null && category.repeats().equals("one_shot")) {
            Ran before = ran.put(note.getText().substring(0, blank), new Ran(witness, frame));
            if (before != null) {
                breach(
                        "one-shot "
                                + note.getText()
                                + " ran at "
                                + before.where()
                                + " and at "
                                + witness,
                        before.frame(),
                        frame);
            }
        }
    }

    @Override
    String nearest() {
        return unsure
                + " relays that must not run twice ended unsure"
                + (windowUsed > 0
                        ? String.format(
                                ", at most %.0f%% of a mark's window was used", 100 * windowUsed)
                        : "");
    }
}
