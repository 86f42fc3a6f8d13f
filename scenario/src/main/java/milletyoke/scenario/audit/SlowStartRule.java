package milletyoke.scenario.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;

/**
 * Rule 4, at the targets' end: what all initiators together send a cold one within the fall time.
 */
final class SlowStartRule extends RuleCheck {
    private record Came(long at, double units, boolean told) {}

    private static final class Warming {
        long since;
        double capacity;
        double units;
        final ArrayDeque<Came> window = new ArrayDeque<>();
    }

    private final Map<String, Warming> warming = new HashMap<>();
    private final Map<String, Map<String, Long>> toldOf = new HashMap<>();
    private double highest;
    private String highestAt = "";

    SlowStartRule() {
        super(4, "no cold target pushed over");
    }

    @Override
    void noted(String witness, Note note, long at, int frame) {
        if (note.getKind() == Note.Kind.STARTED && note.getText().equals("cold")) {
            Warming w = new Warming();
            w.since = at;
            w.capacity = note.getFigure();
            warming.put(witness, w);
        } else if (note.getKind() == Note.Kind.KILLED || note.getKind() == Note.Kind.STARTED) {
            warming.remove(witness);
        } else if (note.getKind() == Note.Kind.OVERLOAD_COLLAPSE) {
            breach(
                    witness
                            + " fell over, sent "
                            + String.format("%.2f", note.getFigure())
                            + " times what it bears",
                    frame);
        }
    }

    @Override
    void listed(Incarnation life, long at) {
        life.list.forEach(
                (target, listed) ->
                        toldOf.computeIfAbsent(life.initiator, i -> new HashMap<>())
                                .merge(
                                        target,
                                        listed.startToldAt.values().stream()
                                                .mapToLong(t -> t)
                                                .max()
                                                .orElse(at),
                                        Math::max));
    }

    @Override
    void elsewhere(Record r, int frame) {
        Warming w = warming.get(r.getObserver());
        if (w == null
                || r.getDirection() != Direction.GOT
                || !r.getFrame().hasAttempt()
                || book.fall() == 0) {
            return;
        }
        if (r.getAtMicros() > w.since + book.cold()) {
            warming.remove(r.getObserver());
            return;
        }
        tested++;
        double units = r.getFrame().getAttempt().getUnits();
        boolean told =
                toldOf.getOrDefault(r.getPeer(), Map.of()).getOrDefault(r.getObserver(), 0L)
                        >= w.since;
        w.window.addLast(new Came(r.getAtMicros(), units, told));
        w.units += units;
        while (w.window.peekFirst().at() <= r.getAtMicros() - book.fall()) {
            w.units -= w.window.removeFirst().units();
        }
        double bears = book.tip() * w.capacity * warmth(w, r.getAtMicros()) * book.fall() / 1e6;
        if (w.units / bears > highest) {
            highest = w.units / bears;
            highestAt = r.getObserver();
        }
        double byTold = w.window.stream().filter(Came::told).mapToDouble(Came::units).sum();
        if (w.units > bears && byTold >= w.units * 2 / 3) {
            breach(
                    String.format(
                            "%s was sent %.1f units within %s while cold, it bears %.1f",
                            r.getObserver(), w.units, millis(book.fall()), bears),
                    frame);
        }
    }

    private double warmth(Warming w, long at) {
        double age = Math.min(1, (at - w.since) / (double) Math.max(1, book.cold()));
        return book.coldShare() + (1 - book.coldShare()) * age;
    }

    @Override
    String nearest() {
        return highest == 0
                ? "-"
                : String.format(
                        "at most %.0f%% of what it bears was sent, to %s",
                        100 * highest, highestAt);
    }
}
