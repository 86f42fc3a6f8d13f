package milletyoke.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts what clients got, by request class, volume and service plan. A latency counts from when
 * the request was due, not from when it was sent, so that a stall of the sender hides nothing;
 * retries count towards their request. Thread-safe.
 */
public final class ServiceLevelRecorder {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1e3;

    /** The figures of one request class. */
    public static final class ClassStatistics {
        private final Histogram latencies = newHistogram();
        private final double priorityWeight;
        private long requests;
        private long answered;
        private long inTime;
        private long rejected;
        private long failed;
        private long unanswered;
        private long unreachable;

        ClassStatistics(double priorityWeight) {
            this.priorityWeight = priorityWeight;
        }

        /** The fraction of requests that were answered within the latency objective. */
        public double serviceLevel() {
            return requests == 0 ? 1 : inTime / (double) requests;
        }

        /** Requests that were due. */
        public long requests() {
            return requests;
        }

        /** Requests that were answered. */
        public long answered() {
            return answered;
        }

        /** Requests that were answered within the latency objective. */
        public long inTime() {
            return inTime;
        }

        /** Requests whose last attempt was rejected. */
        public long rejected() {
            return rejected;
        }

        /** Requests that failed; their outcome is unknown. */
        public long failed() {
            return failed;
        }

        /** Requests whose client stopped waiting. */
        public long unanswered() {
            return unanswered;
        }

        /** Attempts that found no open connection. */
        public long unreachable() {
            return unreachable;
        }

        /** Latencies of answered requests (microseconds); live. */
        public Histogram latencies() {
            return latencies;
        }

        private String text() {
            return String.format(
                    "%9d asked  %5.1f%% in time  %5.1f%% answered  %5.1f%% rejected  %5.2f%% broken off"
                            + "  %d unanswered  p50 %.1f  p99 %.1f  p99.9 %.1f ms",
                    requests,
                    100 * serviceLevel(),
                    percent(answered),
                    percent(rejected),
                    percent(failed),
                    unanswered,
                    latencyMillis(50),
                    latencyMillis(99),
                    latencyMillis(99.9));
        }

        private double percent(long count) {
            return 100.0 * count / Math.max(1, requests);
        }

        private double latencyMillis(double percentile) {
            return latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }

    /** The requests of one volume or plan. */
    private static final class RequestCount {
        private long requests;
        private long inTime;
    }

    private final Map<String, ClassStatistics> requestClasses = new LinkedHashMap<>();
    private final Map<String, RequestCount> plans = new LinkedHashMap<>();
    private final Map<String, String> planByVolume = new LinkedHashMap<>();

    /** By volume, in the order of the profile. */
    private final Map<String, RequestCount> volumes = new LinkedHashMap<>();

    ServiceLevelRecorder(LoadProfile profile) {
        for (LoadProfile.RequestClass requestClass : profile.requestClasses()) {
            requestClasses.put(
                    requestClass.name(), new ClassStatistics(requestClass.priorityWeight()));
        }
        for (LoadProfile.Volume volume : profile.volumes()) {
            volumes.put(volume.name(), new RequestCount());
            plans.putIfAbsent(volume.plan(), new RequestCount());
            planByVolume.put(volume.name(), volume.plan());
        }
    }

    private static Histogram newHistogram() {
        return new Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);
    }

    synchronized void recordRequest(String requestClass, String volume) {
        requestClasses.get(requestClass).requests++;
        volumes.get(volume).requests++;
        planOf(volume).requests++;
    }

    private RequestCount planOf(String volume) {
        return plans.get(planByVolume.get(volume));
    }

    /**
     * @param latencyMicros since the request was due
     */
    synchronized void recordAnswer(
            String requestClass, String volume, long latencyMicros, boolean isInTime) {
        ClassStatistics statistics = requestClasses.get(requestClass);
        statistics.answered++;
        if (isInTime) {
            statistics.inTime++;
            volumes.get(volume).inTime++;
            planOf(volume).inTime++;
        }
        statistics.latencies.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, latencyMicros)));
    }

    synchronized void recordRejection(String requestClass) {
        requestClasses.get(requestClass).rejected++;
    }

    synchronized void recordFailure(String requestClass) {
        requestClasses.get(requestClass).failed++;
    }

    synchronized void recordUnanswered(String requestClass) {
        requestClasses.get(requestClass).unanswered++;
    }

    synchronized void recordUnreachable(String requestClass) {
        requestClasses.get(requestClass).unreachable++;
    }

    /** The live figures of a request class; null for an unknown one. */
    public synchronized ClassStatistics requestClass(String requestClass) {
        return requestClasses.get(requestClass);
    }

    /** The live figures of every request class, in the order of the profile. */
    public synchronized Map<String, ClassStatistics> requestClasses() {
        return new LinkedHashMap<>(requestClasses);
    }

    /**
     * The priority weight answered within its objective over the weight that was due; 1 if none.
     */
    public synchronized double overallServiceLevel() {
        PriorityWeights sums = priorityWeights();
        return sums.due() == 0 ? 1 : sums.inTime() / sums.due();
    }

    /**
     * How even service is between volumes that sent requests: the index of Jain, Chiu and Hawe
     * (DEC-TR-301, 1984) over each one's fraction of requests answered in time. 1 if all are served
     * alike, 1/n if one of n gets everything.
     */
    public synchronized double fairnessIndex() {
        double sum = 0;
        double squares = 0;
        int count = 0;
        for (RequestCount volume : volumes.values()) {
            if (volume.requests > 0) {
                double fraction = volume.inTime / (double) volume.requests;
                sum += fraction;
                squares += fraction * fraction;
                count++;
            }
        }
        return squares == 0 ? 1 : sum * sum / (count * squares);
    }

    /** Requests answered within their latency objective, by service plan. */
    public synchronized Map<String, Long> inTimeByPlan() {
        Map<String, Long> inTime = new LinkedHashMap<>();
        plans.forEach((plan, count) -> inTime.put(plan, count.inTime));
        return inTime;
    }

    /**
     * Sums of priority weights so far.
     *
     * @param due of all requests
     * @param inTime of those that were answered within their latency objective
     */
    public record PriorityWeights(double due, double inTime) {}

    /** The sums of priority weights so far. */
    public synchronized PriorityWeights priorityWeights() {
        double due = 0;
        double inTime = 0;
        for (ClassStatistics statistics : requestClasses.values()) {
            due += statistics.priorityWeight * statistics.requests;
            inTime += statistics.priorityWeight * statistics.inTime;
        }
        return new PriorityWeights(due, inTime);
    }

    /** Requests that were due so far. */
    public synchronized long totalRequests() {
        return requestClasses.values().stream().mapToLong(ClassStatistics::requests).sum();
    }

    /** A copy of the latencies of all classes together (microseconds). */
    public synchronized Histogram latencies() {
        Histogram all = newHistogram();
        requestClasses.values().forEach(statistics -> all.add(statistics.latencies));
        return all;
    }

    /** A report of several lines: each class, and the overall service level. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        requestClasses.forEach(
                (name, statistics) ->
                        text.append(String.format("  %-16s %s%n", name, statistics.text())));
        return text.append(String.format("  service %.3f%n", overallServiceLevel())).toString();
    }

    /** One short line for a live display. */
    public synchronized String summary() {
        StringBuilder text = new StringBuilder();
        requestClasses.forEach(
                (name, statistics) ->
                        text.append(
                                String.format(
                                        "  %s %d asked, %.1f%% in time",
                                        name,
                                        statistics.requests,
                                        100 * statistics.serviceLevel())));
        return text.toString().trim();
    }
}
