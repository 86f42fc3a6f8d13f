package milletyoke.simulation.experiment;

import java.util.List;
import java.util.Map;

/**
 * The result of one run. The component names are the keys of the stored JSON.
 *
 * @param service service level of the whole run
 * @param categories service level of each request class, by name
 * @param plans requests of each plan that were answered within the latency objective
 * @param seconds service level up to the end of each second
 * @param p50 median latency, in milliseconds
 * @param p99 99th percentile of the latency, in milliseconds
 * @param evenness fairness between volumes, Jain's index
 * @param coldUsed the largest fraction of its warm-up capacity that any target was sent
 * @param asked number of requests
 * @param unfinished requests without a response after the last one should have ended
 * @param digest hash over every frame delivered, in hexadecimal
 * @param events number of simulation events
 * @param wall wall-clock duration, in microseconds
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

    /** Returns a copy of this row under another arm's name. */
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
