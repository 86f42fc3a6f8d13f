package milletyoke.port;

import java.util.List;

/**
 * What an initiator is provisioned with. A figure of 0 says that there is none, so a rule that
 * rests on it asks nothing; {@code relayBudgetSpan} and {@code fall} speak for their whole rule.
 */
public record Provisioning(
        int initiators,
        List<Category> categories,
        List<Plan> plans,
        Allowances allowances,
        Bounds bounds,
        boolean listMustBeAsked) {

    public enum Repeats {
        HARMLESS,
        STAMPED,
        ONE_SHOT
    }

    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Times are microseconds. */
    public record Category(
            String name,
            Repeats repeats,
            Group group,
            long repeatWindow,
            boolean keyOrdered,
            long agreedTime,
            double importance) {}

    /** Figures in units a second, over all initiators and targets. */
    public record Plan(
            String name,
            double reserve,
            double weight,
            double limitRate,
            double limitDepth,
            double limitSlack) {}

    public record Allowances(
            int maxRelays, boolean probes, boolean cancels, boolean advice, long longestAdvice) {}

    public record Bounds(
            long keyQuiet,
            long cold,
            double coldShare,
            double coldBears,
            long fall,
            double tipMultiple,
            double relayBudgetFree,
            double relayBudgetShare,
            long relayBudgetSpan,
            long mustAskIn) {}
}
