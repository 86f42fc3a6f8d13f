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
     * @param half half of the interval's width; 0 for fewer than two samples
     * @param count number of samples
     */
    public record Mean(double mean, double half, int count) {
        /** The mean and its interval with four decimals. */
        public String text() {
            return String.format("%.4f ± %.4f", mean, half);
        }
    }

    /**
     * Comparison of two arms on the same seeds.
     *
     * @param difference second arm minus first
     * @param chance two-sided p-value of that difference
     */
    public record Paired(Mean difference, double chance) {}

    /** The mean of the samples with its interval; NaN for no samples. */
    public static Mean mean(List<Double> figures) {
        int n = figures.size();
        double mean = figures.stream().mapToDouble(d -> d).average().orElse(Double.NaN);
        return new Mean(mean, n < 2 ? 0 : quantile(n) * standardError(figures, mean), n);
    }

    private static double quantile(int n) {
        return TDistribution.of(n - 1.0).inverseCumulativeProbability(0.5 + CONFIDENCE / 2);
    }

    /** Standard error of the mean. */
    private static double standardError(List<Double> figures, double mean) {
        int n = figures.size();
        double squares = figures.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum();
        return Math.sqrt(squares / (n - 1) / n);
    }

    /**
     * Compares two arms by Student's paired t-test.
     *
     * @throws IllegalArgumentException for fewer than two pairs or lists of unequal size
     */
    public static Paired paired(List<Double> first, List<Double> second) {
        if (first.size() != second.size() || first.size() < 2) {
            throw new IllegalArgumentException(
                    "at least two pairs are compared, not "
                            + first.size()
                            + " figures with "
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
