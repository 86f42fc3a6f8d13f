package milletyoke.standins;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.statistics.distribution.ContinuousDistribution;
import org.apache.commons.statistics.distribution.ExponentialDistribution;
import org.apache.commons.statistics.distribution.GammaDistribution;
import org.apache.commons.statistics.distribution.LogNormalDistribution;
import org.apache.commons.statistics.distribution.UniformContinuousDistribution;

/** How the work of single accesses varies round a mean of 1. Immutable; any thread may ask. */
public final class WorkDistribution {
    /** Even over 0.5 to 1.5. */
    public static final WorkDistribution EVEN =
            new WorkDistribution(UniformContinuousDistribution.of(0.5, 1.5));

    private static final Pattern SYNTAX =
            Pattern.compile("(even|exponential)|(gamma|lognormal):([0-9]+(?:\\.[0-9]+)?)");

    private final ContinuousDistribution distribution;

    private WorkDistribution(ContinuousDistribution distribution) {
        this.distribution = distribution;
    }

    /**
     * Reads {@code even}, {@code exponential}, {@code gamma:SHAPE} or {@code lognormal:SIGMA}.
     *
     * @throws IllegalArgumentException for anything else, with what is expected
     */
    public static WorkDistribution of(String text) {
        Matcher m = SYNTAX.matcher(text);
        double figure = m.matches() && m.group(3) != null ? Double.parseDouble(m.group(3)) : 1;
        if (!m.matches() || !(figure >= 0.01 && figure <= 100)) {
            throw new IllegalArgumentException(
                    "even, exponential, gamma:SHAPE or lognormal:SIGMA is expected, with a figure of"
                            + " 0.01 to 100, not \""
                            + text
                            + "\"");
        }
        if (m.group(2) == null) {
            return m.group(1).equals("even")
                    ? EVEN
                    : new WorkDistribution(ExponentialDistribution.of(1));
        }
        return new WorkDistribution(
                m.group(2).equals("gamma")
                        ? GammaDistribution.of(figure, 1 / figure)
                        : LogNormalDistribution.of(-figure * figure / 2, figure));
    }

    /**
     * @param chance of 0 to 1, evenly drawn
     */
    public double factor(double chance) {
        return distribution.inverseCumulativeProbability(chance);
    }
}
