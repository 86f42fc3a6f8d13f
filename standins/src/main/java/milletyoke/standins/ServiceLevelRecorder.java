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
    public static final class Line {
        public long asked, answered, inTime, rejected, brokenOff, unanswered, unreachable;
        public final Histogram times = new Histogram(3_600_000_000L, 3);
        private final double importance;

        Line(double importance) {
            this.importance = importance;
        }

        public double service() {
            return asked == 0 ? 1 : inTime / (double) asked;
        }

        private String text() {
            return String.format(
                    "%9d asked  %5.1f%% in time  %5.1f%% answered  %5.1f%% rejected  %5.2f%% broken off"
                            + "  %d unanswered  p50 %.1f  p99 %.1f  p99.9 %.1f ms",
                    asked,
                    100 * service(),
                    part(answered),
                    part(rejected),
                    part(brokenOff),
                    unanswered,
                    times.getValueAtPercentile(50) / 1e3,
                    times.getValueAtPercentile(99) / 1e3,
                    times.getValueAtPercentile(99.9) / 1e3);
        }

        private double part(long count) {
            return 100.0 * count / Math.max(1, asked);
        }
    }

    private final Map<String, Line> lines = new LinkedHashMap<>();

    /** By plan: asked and answered in time. */
    private final Map<String, long[]> plans = new LinkedHashMap<>();

    private final Map<String, String> planOf = new LinkedHashMap<>();

    /** By volume, in the order of the demand: asked and answered in time. */
    private final Map<String, long[]> volumes = new LinkedHashMap<>();

    ServiceLevelRecorder(LoadProfile demand) {
        demand.kinds().forEach(k -> lines.put(k.name(), new Line(k.importance())));
        demand.volumes()
                .forEach(
                        v -> {
                            volumes.put(v.name(), new long[2]);
                            plans.putIfAbsent(v.plan(), new long[2]);
                            planOf.put(v.name(), v.plan());
                        });
    }

    synchronized void asked(String kind, String volume) {
        lines.get(kind).asked++;
        volumes.get(volume)[0]++;
        plans.get(planOf.get(volume))[0]++;
    }

    /**
     * @param micros since the first try was due
     */
    synchronized void answered(String kind, String volume, long micros, boolean inTime) {
        volumes.get(volume)[1] += inTime ? 1 : 0;
        plans.get(planOf.get(volume))[1] += inTime ? 1 : 0;
        Line line = lines.get(kind);
        line.answered++;
        line.inTime += inTime ? 1 : 0;
        line.times.recordValue(Math.min(3_600_000_000L, Math.max(0, micros)));
    }

    synchronized void rejected(String kind) {
        lines.get(kind).rejected++;
    }

    synchronized void brokenOff(String kind) {
        lines.get(kind).brokenOff++;
    }

    synchronized void unanswered(String kind) {
        lines.get(kind).unanswered++;
    }

    synchronized void unreachable(String kind) {
        lines.get(kind).unreachable++;
    }

    public synchronized Line line(String kind) {
        return lines.get(kind);
    }

    /** Importance answered in its agreed time over the importance asked for. */
    public synchronized double whole() {
        double[] sums = sums();
        return sums[0] == 0 ? 1 : sums[1] / sums[0];
    }

    /**
     * How even service is between volumes that asked: the index of Jain, Chiu and Hawe (DEC-TR-301,
     * 1984) over the part of each one's accesses that were answered in time. 1 where all are served
     * alike, 1/n where one of n has it all.
     */
    public synchronized double evenness() {
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

    public synchronized Map<String, Line> lines() {
        return new LinkedHashMap<>(lines);
    }

    /** Importance asked for and importance answered in its agreed time, so far. */
    public synchronized double[] sums() {
        double[] sums = new double[2];
        for (Line line : lines.values()) {
            sums[0] += line.importance * line.asked;
            sums[1] += line.importance * line.inTime;
        }
        return sums;
    }

    public synchronized long askedInAll() {
        return lines.values().stream().mapToLong(l -> l.asked).sum();
    }

    public synchronized Histogram times() {
        Histogram all = new Histogram(3_600_000_000L, 3);
        lines.values().forEach(l -> all.add(l.times));
        return all;
    }

    public synchronized String text() {
        StringBuilder text = new StringBuilder();
        lines.forEach(
                (name, line) -> text.append(String.format("  %-16s %s%n", name, line.text())));
        return text.append(String.format("  service %.3f%n", whole())).toString();
    }

    /** One short line for a live view. */
    public synchronized String brief() {
        StringBuilder text = new StringBuilder();
        lines.forEach(
                (name, line) ->
                        text.append(
                                String.format(
                                        "  %s %d asked, %.1f%% in time",
                                        name, line.asked, 100 * line.service())));
        return text.toString().trim();
    }
}
