package milletyoke.simulation.experiment;

import java.util.List;
import org.apache.commons.statistics.distribution.TDistribution;

/** Means with their intervals (Student 1908), and the comparison of two arms pair by pair. */
public final class Statistics {
    /** Of intervals. */
    public static final double CONFIDENCE = 0.95;

    private Statistics() {}

    /**
     * @param half of the interval's width; 0 where there are not two figures
     */
    public record Mean(double mean, double half, int count) {
        public String text() {
            return String.format("%.4f ± %.4f", mean, half);
        }
    }

    /**
     * Two arms on the same seeds.
     *
     * @param difference of the second to the first
     * @param chance that a difference so large comes where there is none (two-sided)
     */
    public record Paired(Mean difference, double chance) {}

    public static Mean mean(List<Double> figures) {
        int n = figures.size();
        double mean = figures.stream().mapToDouble(d -> d).average().orElse(Double.NaN);
        return new Mean(mean, n < 2 ? 0 : quantile(n) * error(figures, mean), n);
    }

    private static double quantile(int n) {
        return TDistribution.of(n - 1.0).inverseCumulativeProbability(0.5 + CONFIDENCE / 2);
    }

    /** Of the mean. */
    private static double error(List<Double> figures, double mean) {
        int n = figures.size();
        double squares = figures.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum();
        return Math.sqrt(squares / (n - 1) / n);
    }

    /**
     * @throws IllegalArgumentException where there are not two pairs, or figures without a partner
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
                java.util.stream.IntStream.range(0, first.size())
                        .mapToObj(i -> second.get(i) - first.get(i))
                        .toList();
        Mean mean = mean(differences);
        double error = error(differences, mean.mean());
        double chance =
                error == 0
                        ? (mean.mean() == 0 ? 1 : 0)
                        : 2
                                * TDistribution.of(first.size() - 1.0)
                                        .survivalProbability(Math.abs(mean.mean()) / error);
        return new Paired(mean, chance);
    }
}
