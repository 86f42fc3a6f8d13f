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
    private record Arrival(long at, double units, boolean told) {}

    private static final class WarmUp {
        long since;
        double capacity;
        double units;
        final ArrayDeque<Arrival> window = new ArrayDeque<>();
    }

    private final Map<String, WarmUp> warming = new HashMap<>();
    private final Map<String, Map<String, Long>> startReports = new HashMap<>();
    private double highest;
    private String highestAt = "";

    SlowStartRule() {
        super(4, "no cold target pushed over");
    }

    @Override
    void onNote(String witness, Note note, long at, int frame) {
        if (note.getKind() == Note.Kind.STARTED && note.getText().equals("cold")) {
            WarmUp w = new WarmUp();
            w.since = at;
            w.capacity = note.getFigure();
            warming.put(witness, w);
        } else if (note.getKind() == Note.Kind.KILLED || note.getKind() == Note.Kind.STARTED) {
            warming.remove(witness);
        } else if (note.getKind() == Note.Kind.OVERLOAD_COLLAPSE) {
            recordViolation(
                    witness
                            + " fell over, sent "
                            + String.format("%.2f", note.getFigure())
                            + " times what it bears",
                    frame);
        }
    }

    @Override
    void onEndpointList(Incarnation incarnation, long at) {
        incarnation.endpoints.forEach(
                (target, listed) ->
                        startReports
                                .computeIfAbsent(incarnation.initiator, i -> new HashMap<>())
                                .merge(
                                        target,
                                        listed.startReportedAt.values().stream()
                                                .mapToLong(t -> t)
                                                .max()
                                                .orElse(at),
                                        Math::max));
    }

    @Override
    void onOtherRecord(Record record, int frame) {
        WarmUp w = warming.get(record.getObserver());
        if (w == null
                || record.getDirection() != Direction.GOT
                || !record.getFrame().hasAttempt()
                || settings.overloadWindowMicros() == 0) {
            return;
        }
        if (record.getAtMicros() > w.since + settings.warmUpMicros()) {
            warming.remove(record.getObserver());
            return;
        }
        tested++;
        double units = record.getFrame().getAttempt().getUnits();
        boolean told =
                startReports
                                .getOrDefault(record.getPeer(), Map.of())
                                .getOrDefault(record.getObserver(), 0L)
                        >= w.since;
        w.window.addLast(new Arrival(record.getAtMicros(), units, told));
        w.units += units;
        while (w.window.peekFirst().at()
                <= record.getAtMicros() - settings.overloadWindowMicros()) {
            w.units -= w.window.removeFirst().units();
        }
        double bears =
                settings.overloadFactor()
                        * w.capacity
                        * capacityFraction(w, record.getAtMicros())
                        * settings.overloadWindowMicros()
                        / 1e6;
        if (w.units / bears > highest) {
            highest = w.units / bears;
            highestAt = record.getObserver();
        }
        double byTold = w.window.stream().filter(Arrival::told).mapToDouble(Arrival::units).sum();
        if (w.units > bears && byTold >= w.units * 2 / 3) {
            recordViolation(
                    String.format(
                            "%s was sent %.1f units within %s while cold, it bears %.1f",
                            record.getObserver(),
                            w.units,
                            millis(settings.overloadWindowMicros()),
                            bears),
                    frame);
        }
    }

    private double capacityFraction(WarmUp w, long at) {
        double age = Math.min(1, (at - w.since) / (double) Math.max(1, settings.warmUpMicros()));
        return settings.initialCapacityFraction() + (1 - settings.initialCapacityFraction()) * age;
    }

    @Override
    String closestCall() {
        return highest == 0
                ? "-"
                : String.format(
                        "at most %.0f%% of what it bears was sent, to %s",
                        100 * highest, highestAt);
    }
}
