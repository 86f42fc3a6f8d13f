package milletyoke.simulation.policy;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import milletyoke.scheduler.RequestScheduler;
import milletyoke.scheduler.SchedulerTuning;
import milletyoke.scheduler.api.Scheduler;

/** The production scheduler with other tuning parameters, for experiments only. */
public final class SchedulerVariant {
    private static final Pattern ASSIGNMENT =
            Pattern.compile("\\s*([A-Z_]+)\\s*=\\s*([-0-9._/ ]+?)\\s*");
    private static final Pattern NUMBER = Pattern.compile("-?[0-9][0-9_]*(\\.[0-9]*)?|-?\\.[0-9]+");

    /**
     * Parameter names as experiment files write them. They stay stable although the fields of
     * {@link SchedulerTuning} have other names.
     */
    private enum Parameter {
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

    private final Map<Parameter, Double> values = new EnumMap<>(Parameter.class);

    private SchedulerVariant() {}

    /**
     * Returns a factory of schedulers with the given parameters.
     *
     * @param assignments for example {@code MARGIN_STEPS = 0.5; LATE_PART = 1.0 / 3}; parameters
     *     not assigned keep their defaults
     * @throws VariantFormatException if a parameter is unknown or its value is invalid
     */
    public static Supplier<Scheduler> of(String assignments) throws VariantFormatException {
        SchedulerTuning tuning = parse(assignments);
        return () -> new RequestScheduler(tuning);
    }

    /**
     * Returns the tuning with the given parameters.
     *
     * @param assignments as in {@link #of}
     * @throws VariantFormatException if a parameter is unknown or its value is invalid
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
                    "expected a variant of the form NAME = value; ..., got \""
                            + assignment.strip()
                            + "\"");
        }
        values.put(
                parseParameter(matcher.group(1)),
                parseQuotient(matcher.group(1), matcher.group(2)));
    }

    private static Parameter parseParameter(String name) throws VariantFormatException {
        for (Parameter parameter : Parameter.values()) {
            if (parameter.name().equals(name)) {
                return parameter;
            }
        }
        throw new VariantFormatException("unknown tuning parameter " + name);
    }

    /** Evaluates a number or a quotient such as {@code 1.0 / 3}. */
    private static double parseQuotient(String name, String text) throws VariantFormatException {
        String[] parts = text.split("/", -1);
        double value = parseNumber(name, parts[0]);
        for (int i = 1; i < parts.length; i++) {
            value /= parseNumber(name, parts[i]);
        }
        if (!Double.isFinite(value)) {
            throw new VariantFormatException(name + " is not a finite number: " + text);
        }
        return value;
    }

    private static double parseNumber(String name, String text) throws VariantFormatException {
        String digits = text.strip();
        if (!NUMBER.matcher(digits).matches()) {
            throw new VariantFormatException(name + " is not a number: \"" + digits + "\"");
        }
        return Double.parseDouble(digits.replace("_", ""));
    }

    private double doubleValue(Parameter parameter, double defaultValue) {
        return values.getOrDefault(parameter, defaultValue);
    }

    private long longValue(Parameter parameter, long defaultValue) throws VariantFormatException {
        Double value = values.get(parameter);
        if (value == null) {
            return defaultValue;
        }
        if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
            throw new VariantFormatException(
                    parameter + " is not an integer within int range: " + value);
        }
        return value.longValue();
    }

    private SchedulerTuning tuning(SchedulerTuning defaults) throws VariantFormatException {
        return new SchedulerTuning(
                (int) longValue(Parameter.BASE_BATCH, defaults.baseBatchSize()),
                (int) longValue(Parameter.LOTS, defaults.placementDraws()),
                doubleValue(Parameter.FIRST_WINDOW, defaults.initialConcurrencyLimit()),
                doubleValue(Parameter.WINDOW_CEILING, defaults.maxConcurrencyLimit()),
                doubleValue(Parameter.MARGIN_STEPS, defaults.marginSteps()),
                doubleValue(Parameter.LATE_PART, defaults.lateFraction()),
                doubleValue(Parameter.SMOOTHING, defaults.smoothing()),
                doubleValue(Parameter.PATIENCE, defaults.unresponsiveFactor()),
                doubleValue(Parameter.SUSPECT, defaults.suspectLateShare()),
                doubleValue(Parameter.JOIN_OWED, defaults.joinFractionBelowReservation()),
                doubleValue(Parameter.JOIN_OTHERS, defaults.joinFractionOthers()),
                doubleValue(Parameter.LEAST_FURTHER, defaults.minRetryProbability()),
                longValue(Parameter.LONGEST_TRIAL, defaults.maxBackoffObjectives()),
                longValue(Parameter.LOOK_WAITING, defaults.queuedCheckMicros()),
                longValue(Parameter.LOOK_IDLE, defaults.inFlightCheckMicros()),
                longValue(Parameter.ANSWER_AHEAD, defaults.responseLeadMicros()),
                longValue(Parameter.FIRST_ASK, defaults.initialWatchDelayMicros()),
                doubleValue(Parameter.SLACK_USED, defaults.usedSlackFraction()),
                doubleValue(Parameter.COLD_QUEUE, defaults.warmUpQueueFraction()));
    }
}
