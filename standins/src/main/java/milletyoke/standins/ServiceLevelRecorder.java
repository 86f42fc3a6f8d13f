package milletyoke.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What clients got, by category. A time counts from when the access was due to leave, not from when
 * it left, so that a standstill of the sender hides nothing; further tries count towards the first.
 */
public final class ServiceLevelRecorder {
    /** One category's figures. */
    public static final class ClassStatistics {
        public long requests, answered, inTime, rejected, failed, unanswered, unreachable;
        public final Histogram latencies = new Histogram(3_600_000_000L, 3);
        private final double priorityWeight;

        ClassStatistics(double importance) {
            this.priorityWeight = importance;
        }

        public double serviceLevel() {
            return requests == 0 ? 1 : inTime / (double) requests;
        }

        private String text() {
            return String.format(
                    "%9d asked  %5.1f%% in time  %5.1f%% answered  %5.1f%% rejected  %5.2f%% broken off"
                            + "  %d unanswered  p50 %.1f  p99 %.1f  p99.9 %.1f ms",
                    requests,
                    100 * serviceLevel(),
                    part(answered),
                    part(rejected),
                    part(failed),
                    unanswered,
                    latencies.getValueAtPercentile(50) / 1e3,
                    latencies.getValueAtPercentile(99) / 1e3,
                    latencies.getValueAtPercentile(99.9) / 1e3);
        }

        private double part(long count) {
            return 100.0 * count / Math.max(1, requests);
        }
    }

    private final Map<String, ClassStatistics> requestClasses = new LinkedHashMap<>();

    /** By plan: asked and answered in time. */
    private final Map<String, long[]> plans = new LinkedHashMap<>();

    private final Map<String, String> planByVolume = new LinkedHashMap<>();

    /** By volume, in the order of the demand: asked and answered in time. */
    private final Map<String, long[]> volumes = new LinkedHashMap<>();

    ServiceLevelRecorder(LoadProfile profile) {
        profile.requestClasses()
                .forEach(
                        k -> requestClasses.put(k.name(), new ClassStatistics(k.priorityWeight())));
        profile.volumes()
                .forEach(
                        v -> {
                            volumes.put(v.name(), new long[2]);
                            plans.putIfAbsent(v.plan(), new long[2]);
                            planByVolume.put(v.name(), v.plan());
                        });
    }

    synchronized void recordRequest(String kind, String volume) {
        requestClasses.get(kind).requests++;
        volumes.get(volume)[0]++;
        plans.get(planByVolume.get(volume))[0]++;
    }

    /**
     * @param micros since the first try was due
     */
    synchronized void recordAnswer(String kind, String volume, long micros, boolean inTime) {
        volumes.get(volume)[1] += inTime ? 1 : 0;
        plans.get(planByVolume.get(volume))[1] += inTime ? 1 : 0;
        ClassStatistics line = requestClasses.get(kind);
        line.answered++;
        line.inTime += inTime ? 1 : 0;
        line.latencies.recordValue(Math.min(3_600_000_000L, Math.max(0, micros)));
    }

    synchronized void recordRejection(String kind) {
        requestClasses.get(kind).rejected++;
    }

    synchronized void recordFailure(String kind) {
        requestClasses.get(kind).failed++;
    }

    synchronized void recordUnanswered(String kind) {
        requestClasses.get(kind).unanswered++;
    }

    synchronized void recordUnreachable(String kind) {
        requestClasses.get(kind).unreachable++;
    }

    public synchronized ClassStatistics requestClass(String kind) {
        return requestClasses.get(kind);
    }

    /** Importance answered in its agreed time over the importance asked for. */
    public synchronized double overallServiceLevel() {
        double[] sums = sums();
        return sums[0] == 0 ? 1 : sums[1] / sums[0];
    }

    /**
     * How even service is between volumes that asked: the index of Jain, Chiu and Hawe (DEC-TR-301,
     * 1984) over the part of each one's accesses that were answered in time. 1 where all are served
     * alike, 1/n where one of n has it all.
     */
    public synchronized double fairnessIndex() {
        double sum = 0, squares = 0;
        int count = 0;
        for (long[] v : volumes.values()) {
            if (v[0] > 0) {
                double part = v[1] / (double) v[0];
                sum += part;
                squares += part * part;
                count++;
            }
        }
        return squares == 0 ? 1 : sum * sum / (count * squares);
    }

    /** Accesses answered in their agreed time, by plan. */
    public synchronized Map<String, Long> inTimeByPlan() {
        Map<String, Long> all = new LinkedHashMap<>();
        plans.forEach((plan, counts) -> all.put(plan, counts[1]));
        return all;
    }

    public synchronized Map<String, ClassStatistics> requestClasses() {
        return new LinkedHashMap<>(requestClasses);
    }

    /** Importance asked for and importance answered in its agreed time, so far. */
    public synchronized double[] sums() {
        double[] sums = new double[2];
        for (ClassStatistics line : requestClasses.values()) {
            sums[0] += line.priorityWeight * line.requests;
            sums[1] += line.priorityWeight * line.inTime;
        }
        return sums;
    }

    public synchronized long totalRequests() {
        return requestClasses.values().stream().mapToLong(l -> l.requests).sum();
    }

    public synchronized Histogram latencies() {
        Histogram all = new Histogram(3_600_000_000L, 3);
        requestClasses.values().forEach(l -> all.add(l.latencies));
        return all;
    }

    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        requestClasses.forEach(
                (name, line) -> text.append(String.format("  %-16s %s%n", name, line.text())));
        return text.append(String.format("  service %.3f%n", overallServiceLevel())).toString();
    }

    /** One short line for a live view. */
    public synchronized String summary() {
        StringBuilder text = new StringBuilder();
        requestClasses.forEach(
                (name, line) ->
                        text.append(
                                String.format(
                                        "  %s %d asked, %.1f%% in time",
                                        name, line.requests, 100 * line.serviceLevel())));
        return text.toString().trim();
    }
}
