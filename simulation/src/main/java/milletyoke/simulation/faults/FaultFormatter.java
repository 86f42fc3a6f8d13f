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
    public static String of(Fault t) {
        String whom =
                t.selection().number() > 0
                        ? "" + t.selection().number()
                        : percent(t.selection().part());
        String span = " for=" + time(t.durationMicros());
        String start =
                t.under() > 0
                        ? "when service under="
                                + percent(t.under())
                                + " from="
                                + time(t.atMicros())
                                + " "
                        : "at " + time(t.atMicros()) + " ";
        return start
                + switch (t.type()) {
                    case HANG, UNREACHABLE, DRAIN, STILL -> name(t) + " " + whom + span;
                    case SLOW -> "slow " + whom + " by=" + t.magnitude() + span;
                    case PAUSES ->
                            "pauses "
                                    + whom
                                    + " of="
                                    + times(t.range())
                                    + " every="
                                    + time(t.intervalMicros())
                                    + span;
                    case ERRORS, LOST ->
                            name(t) + " " + whom + " part=" + percent(t.magnitude()) + span;
                    case RESETS -> "resets " + whom + " every=" + time(t.intervalMicros()) + span;
                    case RESTART -> "restart " + whom + " down=" + times(t.range());
                    case ROLL ->
                            "roll "
                                    + whom
                                    + " over="
                                    + time(t.durationMicros())
                                    + " down="
                                    + time(t.downtimeMicros());
                    case AGE ->
                            "age "
                                    + whom
                                    + " to="
                                    + t.magnitude()
                                    + " over="
                                    + time(t.durationMicros())
                                    + " down="
                                    + time(t.downtimeMicros());
                    case LIST_LATE -> "list late by=" + times(t.range()) + span;
                    case LIST_PARTIAL -> "list partial " + whom + span;
                    case LIST_FLAP ->
                            "list flap " + whom + " every=" + time(t.intervalMicros()) + span;
                    case LIST_UNAVAILABLE -> "list unavailable" + span;
                    case KILL, LEAVE -> name(t) + " " + whom + " down=" + times(t.range());
                    case SURGE ->
                            "surge volumes=" + t.count() + " by=" + percent(t.magnitude()) + span;
                    case HOTKEY -> "hotkey part=" + percent(t.magnitude()) + span;
                    case RECONNECT -> "reconnect";
                    case PARTITION ->
                            "partition "
                                    + whom
                                    + " targets="
                                    + (t.count() > 0 ? "" + t.count() : percent(t.magnitude()))
                                    + ((t.intervalMicros() & Scenario.ONE_WAY) != 0
                                            ? " oneway"
                                            : "")
                                    + ((t.intervalMicros() & Scenario.GREY) != 0 ? " grey" : "")
                                    + span;
                    case CLOCK ->
                            "clock "
                                    + (t.durationMicros() < 0 ? "back=" : "ahead=")
                                    + time(Math.abs(t.durationMicros()));
                    case LIMIT ->
                            throw new IllegalArgumentException(
                                    "a change of a limit is written by hand");
                };
    }

    private static String name(Fault t) {
        return t.type().name().toLowerCase(Locale.ROOT);
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
