package milletyoke.simulation.faults;

import java.util.Locale;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;

/**
 * Writes a trouble as a line of a script, so that a day that was found can be kept and played again
 * by name.
 */
public final class FaultFormatter {
    private FaultFormatter() {}

    /**
     * @throws IllegalArgumentException for a trouble that storms do not draw
     */
    public static String of(Fault fault) {
        String whom =
                fault.selection().number() > 0
                        ? "" + fault.selection().number()
                        : percent(fault.selection().part());
        String span = " for=" + time(fault.durationMicros());
        String start =
                fault.belowServiceLevel() > 0
                        ? "when service under="
                                + percent(fault.belowServiceLevel())
                                + " from="
                                + time(fault.atMicros())
                                + " "
                        : "at " + time(fault.atMicros()) + " ";
        return start
                + switch (fault.type()) {
                    case HANG, UNREACHABLE, DRAIN, STILL -> name(fault) + " " + whom + span;
                    case SLOW -> "slow " + whom + " by=" + fault.magnitude() + span;
                    case PAUSES ->
                            "pauses "
                                    + whom
                                    + " of="
                                    + times(fault.range())
                                    + " every="
                                    + time(fault.intervalMicros())
                                    + span;
                    case ERRORS, LOST ->
                            name(fault) + " " + whom + " part=" + percent(fault.magnitude()) + span;
                    case RESETS ->
                            "resets " + whom + " every=" + time(fault.intervalMicros()) + span;
                    case RESTART -> "restart " + whom + " down=" + times(fault.range());
                    case ROLL ->
                            "roll "
                                    + whom
                                    + " over="
                                    + time(fault.durationMicros())
                                    + " down="
                                    + time(fault.downtimeMicros());
                    case AGE ->
                            "age "
                                    + whom
                                    + " to="
                                    + fault.magnitude()
                                    + " over="
                                    + time(fault.durationMicros())
                                    + " down="
                                    + time(fault.downtimeMicros());
                    case LIST_LATE -> "list late by=" + times(fault.range()) + span;
                    case LIST_PARTIAL -> "list partial " + whom + span;
                    case LIST_FLAP ->
                            "list flap " + whom + " every=" + time(fault.intervalMicros()) + span;
                    case LIST_UNAVAILABLE -> "list unavailable" + span;
                    case KILL, LEAVE -> name(fault) + " " + whom + " down=" + times(fault.range());
                    case SURGE ->
                            "surge volumes="
                                    + fault.count()
                                    + " by="
                                    + percent(fault.magnitude())
                                    + span;
                    case HOTKEY -> "hotkey part=" + percent(fault.magnitude()) + span;
                    case RECONNECT -> "reconnect";
                    case PARTITION ->
                            "partition "
                                    + whom
                                    + " targets="
                                    + (fault.count() > 0
                                            ? "" + fault.count()
                                            : percent(fault.magnitude()))
                                    + ((fault.intervalMicros() & Scenario.ONE_WAY) != 0
                                            ? " oneway"
                                            : "")
                                    + ((fault.intervalMicros() & Scenario.GREY) != 0 ? " grey" : "")
                                    + span;
                    case CLOCK ->
                            "clock "
                                    + (fault.durationMicros() < 0 ? "back=" : "ahead=")
                                    + time(Math.abs(fault.durationMicros()));
                    case LIMIT ->
                            throw new IllegalArgumentException(
                                    "a change of a limit is written by hand");
                };
    }

    private static String name(Fault fault) {
        return fault.type().name().toLowerCase(Locale.ROOT);
    }

    private static String percent(double part) {
        return Math.round(100 * part) + "%";
    }

    private static String time(long micros) {
        return micros % 1000 == 0 ? micros / 1000 + "ms" : micros + "us";
    }

    private static String times(long[] range) {
        return time(range[0]) + ".." + time(range[1]);
    }
}
