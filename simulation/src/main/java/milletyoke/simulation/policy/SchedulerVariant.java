package milletyoke.simulation.policy;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.SchedulerTuning;
import milletyoke.scheduler.api.Scheduler;

/** The product's scheduler with other tuning figures, for experiments alone. */
public final class SchedulerVariant {
    private static final Pattern ASSIGNMENT =
            Pattern.compile("\\s*([A-Z_]+)\\s*=\\s*([-0-9._/ ]+?)\\s*");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9][0-9_]*(\\.[0-9]*)?|-?\\.[0-9]+");

    /** The names of figures in experiment files; they are kept although the fields' differ. */
    private enum Figure {
        BASE_BATCH,
        LOTS,
        FIRST_WINDOW,
        WINDOW_CEILING,
        MARGIN_STEPS,
        LATE_PART,
        SMOOTHING,
        PATIENCE,
        SUSPECT,
        JOIN_OWED,
        JOIN_OTHERS,
        LEAST_FURTHER,
        LONGEST_TRIAL,
        LOOK_WAITING,
        LOOK_IDLE,
        ANSWER_AHEAD,
        FIRST_ASK,
        SLACK_USED,
        COLD_QUEUE
    }

    private final Map<Figure, Double> figures = new EnumMap<>(Figure.class);

    private SchedulerVariant() {}

    /**
     * A factory of schedulers with these figures.
     *
     * @param assignments as {@code MARGIN_STEPS = 0.5; LATE_PART = 1.0 / 3}; what is not named
     *     keeps its default
     * @throws VariantFormatException that names the figure that is unknown or malformed
     */
    public static Supplier<Scheduler> of(String assignments) throws VariantFormatException {
        SchedulerTuning tuning = parse(assignments);
        return () -> new RequestScheduler(tuning);
    }

    /**
     * The tuning with these figures.
     *
     * @param assignments as in {@link #of}
     * @throws VariantFormatException that names the figure that is unknown or malformed
     */
    public static SchedulerTuning parse(String assignments) throws VariantFormatException {
        SchedulerVariant variant = new SchedulerVariant();
        for (String assignment : assignments.split(";")) {
            variant.assign(assignment);
        }
        return variant.tuning(SchedulerTuning.DEFAULT);
    }

    private void assign(String assignment) throws VariantFormatException {
        Matcher matcher = ASSIGNMENT.matcher(assignment);
        if (!matcher.matches()) {
            throw new VariantFormatException(
                    "a variant is written as NAME = figure; ..., not \""
                            + assignment.strip()
                            + "\"");
        }
        figures.put(figure(matcher.group(1)), quotient(matcher.group(1), matcher.group(2)));
    }

    private static Figure figure(String name) throws VariantFormatException {
        for (Figure figure : Figure.values()) {
            if (figure.name().equals(name)) {
                return figure;
            }
        }
        throw new VariantFormatException("the scheduler has no figure " + name);
    }

    /** A number, or several with division signs between them. */
    private static double quotient(String name, String text) throws VariantFormatException {
        String[] parts = text.split("/", -1);
        double value = number(name, parts[0]);
        for (int i = 1; i < parts.length; i++) {
            value /= number(name, parts[i]);
        }
        if (!Double.isFinite(value)) {
            throw new VariantFormatException(name + " is no finite number: " + text);
        }
        return value;
    }

    private static double number(String name, String text) throws VariantFormatException {
        String digits = text.strip();
        if (!NUMBER.matcher(digits).matches()) {
            throw new VariantFormatException(name + " is no number: \"" + digits + "\"");
        }
        return Double.parseDouble(digits.replace("_", ""));
    }

    private double decimal(Figure figure, double usual) {
        return figures.getOrDefault(figure, usual);
    }

    private long whole(Figure figure, long usual) throws VariantFormatException {
        Double value = figures.get(figure);
        if (value == null) {
            return usual;
        }
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new VariantFormatException(figure + " is no whole number: " + value);
        }
        return value.longValue();
    }

    private SchedulerTuning tuning(SchedulerTuning usual) throws VariantFormatException {
        return new SchedulerTuning(
                (int) whole(Figure.BASE_BATCH, usual.baseBatchSize()),
                (int) whole(Figure.LOTS, usual.placementDraws()),
                decimal(Figure.FIRST_WINDOW, usual.initialConcurrencyLimit()),
                decimal(Figure.WINDOW_CEILING, usual.maxConcurrencyLimit()),
                decimal(Figure.MARGIN_STEPS, usual.marginSteps()),
                decimal(Figure.LATE_PART, usual.lateFraction()),
                decimal(Figure.SMOOTHING, usual.smoothing()),
                decimal(Figure.PATIENCE, usual.unresponsiveFactor()),
                decimal(Figure.SUSPECT, usual.suspectLateShare()),
                decimal(Figure.JOIN_OWED, usual.joinFractionBelowReservation()),
                decimal(Figure.JOIN_OTHERS, usual.joinFractionOthers()),
                decimal(Figure.LEAST_FURTHER, usual.minRetryProbability()),
                whole(Figure.LONGEST_TRIAL, usual.maxBackoffObjectives()),
                whole(Figure.LOOK_WAITING, usual.queuedCheckMicros()),
                whole(Figure.LOOK_IDLE, usual.inFlightCheckMicros()),
                whole(Figure.ANSWER_AHEAD, usual.responseLeadMicros()),
                whole(Figure.FIRST_ASK, usual.initialWatchDelayMicros()),
                decimal(Figure.SLACK_USED, usual.usedSlackFraction()),
                decimal(Figure.COLD_QUEUE, usual.warmUpQueueFraction()));
    }
}
