package milletyoke.standins;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.ExponentialDistribution;
import org.apache.commons.statistics.distribution.GammaDistribution;
import org.apache.commons.statistics.distribution.LogNormalDistribution;
import org.apache.commons.statistics.distribution.UniformContinuousDistribution;

/** The distribution of the work of single attempts, with a mean of 1. Immutable. */
public final class WorkDistribution {
    /** Uniform from 0.5 to 1.5. */
    public static final WorkDistribution EVEN =
            new WorkDistribution(UniformContinuousDistribution.of(0.5, 1.5));

    private static final Pattern SYNTAX =
            Pattern.compile("(even|exponential)|(gamma|lognormal):([0-9]+(?:\\.[0-9]+)?)");
    private static final double MIN_PARAMETER = 0.01;
    private static final double MAX_PARAMETER = 100;

    private final ContinuousDistribution distribution;

    private WorkDistribution(ContinuousDistribution distribution) {
        this.distribution = distribution;
    }

    /**
     * Parses {@code even}, {@code exponential}, {@code gamma:SHAPE} or {@code lognormal:SIGMA}.
     *
     * @throws IllegalArgumentException for any other text; the message lists the allowed ones
     */
    public static WorkDistribution of(String text) {
        Matcher matcher = SYNTAX.matcher(text);
        if (!matcher.matches()) {
            throw unknownDistribution(text);
        }
        if (matcher.group(2) == null) {
            return matcher.group(1).equals("even")
                    ? EVEN
                    : new WorkDistribution(ExponentialDistribution.of(1));
        }
        double parameter = Double.parseDouble(matcher.group(3));
        if (!(parameter >= MIN_PARAMETER && parameter <= MAX_PARAMETER)) {
            throw unknownDistribution(text);
        }
        return new WorkDistribution(
                matcher.group(2).equals("gamma")
                        ? GammaDistribution.of(parameter, 1 / parameter)
                        : LogNormalDistribution.of(-parameter * parameter / 2, parameter));
    }

    private static IllegalArgumentException unknownDistribution(String text) {
        return new IllegalArgumentException(
                "expected even, exponential, gamma:SHAPE or lognormal:SIGMA, with a parameter of"
                        + " 0.01 to 100, not \""
                        + text
                        + "\"");
    }

    /**
     * Returns the factor by which to multiply the mean work of one attempt.
     *
     * @param quantile of 0 to 1, uniformly distributed
     */
    public double factor(double quantile) {
        return distribution.inverseCumulativeProbability(quantile);
    }
}
