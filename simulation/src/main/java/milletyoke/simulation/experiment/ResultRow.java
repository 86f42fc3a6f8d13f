package milletyoke.simulation.experiment;

import java.util.List;
import java.util.Map;

/**
 * What one play came to. Times are milliseconds.
 *
 * @param categories service of each, the part answered in its agreed time
 * @param plans accesses of each that were answered in their agreed time
 * @param seconds service up to the end of each second
 * @param evenness between volumes, Jain's index
 * @param coldUsed the largest part of what a cold target bears that any was sent
 * @param digest of all that travelled, in hexadecimal
 */
public record ResultRow(
        String arm,
        String value,
        int seed,
        double service,
        Map<String, Double> categories,
        Map<String, Long> plans,
        List<Double> seconds,
        double p50,
        double p99,
        double evenness,
        double coldUsed,
        long asked,
        long unfinished,
        String digest,
        long events,
        long wall) {

    /** Identifies the run within its experiment. */
    public String key() {
        return arm + "|" + value + "|" + seed;
    }

    /** The same row under another arm's name. */
    public ResultRow withArm(String newArm) {
        return new ResultRow(
                newArm,
                value,
                seed,
                service,
                categories,
                plans,
                seconds,
                p50,
                p99,
                evenness,
                coldUsed,
                asked,
                unfinished,
                digest,
                events,
                wall);
    }
}
