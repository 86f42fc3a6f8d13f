package milletyoke.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Records the outcomes of client requests by request class, volume and service plan. Latencies are
 * measured from when a request was due, not from when it was sent, so that stalls of the sender are
 * included (no coordinated omission). Retries count towards their request. Thread-safe.
 */
public final class ServiceLevelRecorder {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1e3;

    /** Counters and latencies of one request class. */
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

        /** Returns the fraction of requests answered within the latency objective; 1 if none. */
        public double serviceLevel() {
            return requests == 0 ? 1 : inTime / (double) requests;
        }

        /** Returns the number of requests that were due. */
        public long requests() {
            return requests;
        }

        /** Returns the number of requests answered. */
        public long answered() {
            return answered;
        }

        /** Returns the number of requests answered within the latency objective. */
        public long inTime() {
            return inTime;
        }

        /** Returns the number of requests whose last attempt was rejected. */
        public long rejected() {
            return rejected;
        }

        /** Returns the number of requests that failed with unknown outcome. */
        public long failed() {
            return failed;
        }

        /** Returns the number of requests that ended without an answer. */
        public long unanswered() {
            return unanswered;
        }

        /** Returns the number of attempts that found no open connection. */
        public long unreachable() {
            return unreachable;
        }

        /** Returns the live histogram of the latencies of answered requests (microseconds). */
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

    /** Counts the requests of one volume or service plan. */
    private static final class RequestCount {
        private long requests;
        private long inTime;
    }

    private final Map<String, ClassStatistics> requestClasses = new LinkedHashMap<>();
    private final Map<String, RequestCount> plans = new LinkedHashMap<>();
    private final Map<String, String> planByVolume = new LinkedHashMap<>();

    /** Keyed by volume, in the order of the profile. */
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
     * @param latencyMicros from when the request was due
     */
    synchronized void recordAnswered(
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

    /** Returns the live statistics of a request class; null if the class is unknown. */
    public synchronized ClassStatistics requestClass(String requestClass) {
        return requestClasses.get(requestClass);
    }

    /** Returns the live statistics of all request classes, in the order of the profile. */
    public synchronized Map<String, ClassStatistics> requestClasses() {
        return new LinkedHashMap<>(requestClasses);
    }

    /**
     * Returns the fraction of requests answered within their latency objective, weighted by
     * priority; 1 if no request was due.
     */
    public synchronized double overallServiceLevel() {
        PriorityWeights sums = priorityWeights();
        return sums.due() == 0 ? 1 : sums.inTime() / sums.due();
    }

    /**
     * Returns the fairness index of Jain, Chiu and Hawe (DEC-TR-301, 1984) over the fractions of
     * requests answered in time of all volumes that sent requests: 1 if all are served equally, 1/n
     * if only one of n volumes is served.
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

    /** Returns the number of requests answered within their objective, by service plan. */
    public synchronized Map<String, Long> inTimeByPlan() {
        Map<String, Long> inTime = new LinkedHashMap<>();
        plans.forEach((plan, count) -> inTime.put(plan, count.inTime));
        return inTime;
    }

    /**
     * Sums of priority weights so far.
     *
     * @param due sum over all requests
     * @param inTime sum over requests answered within their latency objective
     */
    public record PriorityWeights(double due, double inTime) {}

    /** Returns the sums of priority weights so far. */
    public synchronized PriorityWeights priorityWeights() {
        double due = 0;
        double inTime = 0;
        for (ClassStatistics statistics : requestClasses.values()) {
            due += statistics.priorityWeight * statistics.requests;
            inTime += statistics.priorityWeight * statistics.inTime;
        }
        return new PriorityWeights(due, inTime);
    }

    /** Returns the number of requests that were due so far. */
    public synchronized long totalRequests() {
        return requestClasses.values().stream().mapToLong(ClassStatistics::requests).sum();
    }

    /** Returns a histogram of the latencies of all classes (microseconds), as a copy. */
    public synchronized Histogram latencies() {
        Histogram all = newHistogram();
        requestClasses.values().forEach(statistics -> all.add(statistics.latencies));
        return all;
    }

    /** Returns a report with one line per request class and the overall service level. */
    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        requestClasses.forEach(
                (name, statistics) ->
                        text.append(String.format("  %-16s %s%n", name, statistics.text())));
        return text.append(String.format("  service %.3f%n", overallServiceLevel())).toString();
    }

    /** Returns a one-line summary for a live display. */
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
