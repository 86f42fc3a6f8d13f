package milletyoke.scenario.audit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import milletyoke.wire.proto.Direction;
import milletyoke.wire.proto.Note;
import milletyoke.wire.proto.Record;

/**
 * Rule 4: the units that all initiators together send to a warming-up target within the overload
 * window do not overload it. Checked on the records of the targets.
 */
final class SlowStartRule extends RuleCheck {
    private record Arrival(long atMicros, double units, boolean isStartReported) {}

    private static final class WarmUp {
        long startedAtMicros;
        double capacity;
        double units;
        final ArrayDeque<Arrival> window = new ArrayDeque<>();
    }

    private final Map<String, WarmUp> warmUps = new HashMap<>();
    private final Map<String, Map<String, Long>> startReports = new HashMap<>();
    private double highestUse;
    private String highestUseTarget = "";

    SlowStartRule() {
        super(4, "slow start: no warming target overloaded");
    }

    @Override
    void onNote(String observer, Note note, long atMicros, int frame) {
        if (note.getKind() == Note.Kind.STARTED && note.getText().equals("cold")) {
            WarmUp warmUp = new WarmUp();
            warmUp.startedAtMicros = atMicros;
            warmUp.capacity = note.getFigure();
            warmUps.put(observer, warmUp);
        } else if (note.getKind() == Note.Kind.KILLED || note.getKind() == Note.Kind.STARTED) {
            warmUps.remove(observer);
        } else if (note.getKind() == Note.Kind.OVERLOAD_COLLAPSE) {
            recordViolation(
                    observer
                            + " collapsed under overload, sent "
                            + String.format("%.2f", note.getFigure())
                            + " times its capacity",
                    frame);
        }
    }

    @Override
    void onEndpointList(Incarnation incarnation, long atMicros) {
        incarnation.endpoints.forEach(
                (target, endpoint) ->
                        startReports
                                .computeIfAbsent(
                                        incarnation.initiator, initiator -> new HashMap<>())
                                .merge(
                                        target,
                                        endpoint.startReportedAtMicros.values().stream()
                                                .mapToLong(micros -> micros)
                                                .max()
                                                .orElse(atMicros),
                                        Math::max));
    }

    @Override
    void onOtherRecord(Record record, int frame) {
        WarmUp warmUp = warmUps.get(record.getObserver());
        if (warmUp == null
                || record.getDirection() != Direction.GOT
                || !record.getFrame().hasAttempt()
                || settings.overloadWindowMicros() == 0) {
            return;
        }
        if (record.getAtMicros() > warmUp.startedAtMicros + settings.warmUpMicros()) {
            warmUps.remove(record.getObserver());
            return;
        }
        tested++;
        double units = record.getFrame().getAttempt().getUnits();
        boolean isStartReported =
                startReports
                                .getOrDefault(record.getPeer(), Map.of())
                                .getOrDefault(record.getObserver(), 0L)
                        >= warmUp.startedAtMicros;
        warmUp.window.addLast(new Arrival(record.getAtMicros(), units, isStartReported));
        warmUp.units += units;
        while (warmUp.window.peekFirst().atMicros()
                <= record.getAtMicros() - settings.overloadWindowMicros()) {
            warmUp.units -= warmUp.window.removeFirst().units();
        }
        double maxUnits =
                settings.overloadFactor()
                        * warmUp.capacity
                        * capacityFraction(warmUp, record.getAtMicros())
                        * settings.overloadWindowMicros()
                        / 1e6;
        if (warmUp.units / maxUnits > highestUse) {
            highestUse = warmUp.units / maxUnits;
            highestUseTarget = record.getObserver();
        }
        double unitsAfterStartReport =
                warmUp.window.stream()
                        .filter(Arrival::isStartReported)
                        .mapToDouble(Arrival::units)
                        .sum();
        if (warmUp.units > maxUnits && unitsAfterStartReport >= warmUp.units * 2 / 3) {
            recordViolation(
                    String.format(
                            "%s was sent %.1f units within %s during slow start, maximum %.1f units",
                            record.getObserver(),
                            warmUp.units,
                            millis(settings.overloadWindowMicros()),
                            maxUnits),
                    frame);
        }
    }

    private double capacityFraction(WarmUp warmUp, long atMicros) {
        double age =
                Math.min(
                        1,
                        (atMicros - warmUp.startedAtMicros)
                                / (double) Math.max(1, settings.warmUpMicros()));
        return settings.initialCapacityFraction() + (1 - settings.initialCapacityFraction()) * age;
    }

    @Override
    String closestCall() {
        return highestUse == 0
                ? "-"
                : String.format(
                        "at most %.0f%% of the maximum units was sent, to %s",
                        100 * highestUse, highestUseTarget);
    }
}
