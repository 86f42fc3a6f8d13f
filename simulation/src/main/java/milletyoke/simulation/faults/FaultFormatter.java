package milletyoke.simulation.faults;

import java.util.Locale;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;

/**
 * Formats faults as statements of a scenario script, so that a generated scenario can be saved and
 * run again.
 */
public final class FaultFormatter {
    private FaultFormatter() {}

    /**
     * Formats a fault as one line of a scenario script.
     *
     * @throws IllegalArgumentException for {@link Scenario.FaultType#LIMIT}, which is never
     *     generated
     */
    public static String format(Fault fault) {
        String selection =
                fault.selection().number() > 0
                        ? "" + fault.selection().number()
                        : formatPercent(fault.selection().part());
        String duration = " for=" + formatMicros(fault.durationMicros());
        String start =
                fault.belowServiceLevel() > 0
                        ? "when service under="
                                + formatPercent(fault.belowServiceLevel())
                                + " from="
                                + formatMicros(fault.atMicros())
                                + " "
                        : "at " + formatMicros(fault.atMicros()) + " ";
        return start
                + switch (fault.type()) {
                    case HANG, UNREACHABLE, DRAIN, STILL ->
                            keyword(fault) + " " + selection + duration;
                    case SLOW -> "slow " + selection + " by=" + fault.magnitude() + duration;
                    case PAUSES ->
                            "pauses "
                                    + selection
                                    + " of="
                                    + formatRange(fault.range())
                                    + " every="
                                    + formatMicros(fault.intervalMicros())
                                    + duration;
                    case ERRORS, LOST ->
                            keyword(fault)
                                    + " "
                                    + selection
                                    + " part="
                                    + formatPercent(fault.magnitude())
                                    + duration;
                    case RESETS ->
                            "resets "
                                    + selection
                                    + " every="
                                    + formatMicros(fault.intervalMicros())
                                    + duration;
                    case RESTART -> "restart " + selection + " down=" + formatRange(fault.range());
                    case ROLL ->
                            "roll "
                                    + selection
                                    + " over="
                                    + formatMicros(fault.durationMicros())
                                    + " down="
                                    + formatMicros(fault.downtimeMicros());
                    case AGE ->
                            "age "
                                    + selection
                                    + " to="
                                    + fault.magnitude()
                                    + " over="
                                    + formatMicros(fault.durationMicros())
                                    + " down="
                                    + formatMicros(fault.downtimeMicros());
                    case LIST_LATE -> "list late by=" + formatRange(fault.range()) + duration;
                    case LIST_PARTIAL -> "list partial " + selection + duration;
                    case LIST_FLAP ->
                            "list flap "
                                    + selection
                                    + " every="
                                    + formatMicros(fault.intervalMicros())
                                    + duration;
                    case LIST_UNAVAILABLE -> "list unavailable" + duration;
                    case KILL, LEAVE ->
                            keyword(fault)
                                    + " "
                                    + selection
                                    + " down="
                                    + formatRange(fault.range());
                    case SURGE ->
                            "surge volumes="
                                    + fault.count()
                                    + " by="
                                    + formatPercent(fault.magnitude())
                                    + duration;
                    case HOTKEY -> "hotkey part=" + formatPercent(fault.magnitude()) + duration;
                    case RECONNECT -> "reconnect";
                    case PARTITION ->
                            "partition "
                                    + selection
                                    + " targets="
                                    + (fault.count() > 0
                                            ? "" + fault.count()
                                            : formatPercent(fault.magnitude()))
                                    + ((fault.intervalMicros() & Scenario.ONE_WAY) != 0
                                            ? " oneway"
                                            : "")
                                    + ((fault.intervalMicros() & Scenario.GREY) != 0 ? " grey" : "")
                                    + duration;
                    case CLOCK ->
                            "clock "
                                    + (fault.durationMicros() < 0 ? "back=" : "ahead=")
                                    + formatMicros(Math.abs(fault.durationMicros()));
                    case LIMIT ->
                            throw new IllegalArgumentException(
                                    "LIMIT faults cannot be formatted as a statement");
                };
    }

    private static String keyword(Fault fault) {
        return fault.type().name().toLowerCase(Locale.ROOT);
    }

    private static String formatPercent(double fraction) {
        return Math.round(100 * fraction) + "%";
    }

    private static String formatMicros(long micros) {
        return micros % 1000 == 0 ? micros / 1000 + "ms" : micros + "us";
    }

    private static String formatRange(long[] range) {
        return formatMicros(range[0]) + ".." + formatMicros(range[1]);
    }
}
