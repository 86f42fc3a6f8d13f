package milletyoke.simulation.experiment;

import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.statistics.distribution.TDistribution;

/** Means with confidence intervals (Student's t), and the paired comparison of two arms. */
public final class Statistics {
    /** Confidence level of all intervals. */
    public static final double CONFIDENCE = 0.95;

    private Statistics() {}

    /**
     * A mean and its confidence interval.
     *
     * @param halfWidth half of the interval's width; 0 for fewer than two samples
     * @param count number of samples
     */
    public record Mean(double mean, double halfWidth, int count) {
        /** Formats the mean and its interval with four decimals. */
        public String text() {
            return String.format("%.4f ± %.4f", mean, halfWidth);
        }
    }

    /**
     * Comparison of two arms on the same seeds.
     *
     * @param difference second arm minus first
     * @param pValue two-sided p-value of the difference
     */
    public record Paired(Mean difference, double pValue) {}

    /** Returns the mean of the samples with its interval; NaN for no samples. */
    public static Mean mean(List<Double> samples) {
        int count = samples.size();
        double mean = samples.stream().mapToDouble(sample -> sample).average().orElse(Double.NaN);
        return new Mean(
                mean, count < 2 ? 0 : quantile(count) * standardError(samples, mean), count);
    }

    private static double quantile(int count) {
        return TDistribution.of(count - 1.0).inverseCumulativeProbability(0.5 + CONFIDENCE / 2);
    }

    /** Returns the standard error of the mean. */
    private static double standardError(List<Double> samples, double mean) {
        int count = samples.size();
        double squares =
                samples.stream().mapToDouble(sample -> (sample - mean) * (sample - mean)).sum();
        return Math.sqrt(squares / (count - 1) / count);
    }

    /**
     * Compares two arms by Student's paired t-test.
     *
     * @throws IllegalArgumentException for fewer than two pairs or lists of unequal size
     */
    public static Paired paired(List<Double> first, List<Double> second) {
        if (first.size() != second.size() || first.size() < 2) {
            throw new IllegalArgumentException(
                    "expected at least two pairs, got lists of "
                            + first.size()
                            + " and "
                            + second.size());
        }
        List<Double> differences =
                IntStream.range(0, first.size())
                        .mapToObj(i -> second.get(i) - first.get(i))
                        .toList();
        Mean mean = mean(differences);
        double error = standardError(differences, mean.mean());
        return new Paired(mean, pValue(mean, error));
    }

    private static double pValue(Mean difference, double standardError) {
        if (standardError == 0) {
            return difference.mean() == 0 ? 1 : 0;
        }
        double statistic = Math.abs(difference.mean()) / standardError;
        return 2 * TDistribution.of(difference.count() - 1.0).survivalProbability(statistic);
    }
}
