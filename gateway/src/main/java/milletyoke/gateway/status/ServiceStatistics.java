package milletyoke.gateway.status;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReferenceArray;
import milletyoke.gateway.status.StatusSnapshot.RequestTally;
import milletyoke.gateway.status.StatusSnapshot.SecondSummary;
import milletyoke.scheduler.api.SchedulerSettings;
import org.HdrHistogram.Histogram;

/**
 * What was asked and got, by category, plan, volume and target: sums since the start, and a ring of
 * seconds for fifteen minutes. Owned by the loop; the ring's rows are immutable and may be read by
 * anybody.
 *
 * <p>Bounded whatever clients name: {@value #MOST_VOLUMES} volumes have sums, the least recently
 * asked make room; {@value #MOST_SERIES} volumes and as many targets have a series, those of a
 * second that come beyond are counted under {@code others}.
 */
public final class ServiceStatistics {
    public static final int RETAINED_SECONDS = 900;
    static final int MAX_VOLUMES = 10_000, MAX_SERIES = 128;
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    /** One second of all series; keys are category:, plan:, volume: and target: with a name. */
    public record Row(long second, Map<String, SecondSummary> series) {}

    /** Sums that grow, and the second in the making. */
    private static final class Totals {
        long asked, answered, inTime, rejected, brokenOff;

        RequestTally tally() {
            return new RequestTally(asked, answered, inTime, rejected, brokenOff);
        }
    }

    private static final class SecondAccumulator {
        int asked, answered, inTime, rejected, brokenOff;

        /**
         * A second's times: as they came while they are few, and a histogram beyond. Guards the
         * loop against a pause at each turn of the second: to read and clear hundreds of histograms
         * of a few times each took milliseconds, a third of all the loop did. Could harm nothing
         * but a few KiB a series.
         */
        private final int[] few = new int[64];

        private int some;
        private Histogram many;
        private boolean spilled;

        void took(long micros) {
            int time = (int) Math.min(MAX_LATENCY_MICROS, Math.max(0, micros));
            if (!spilled && some < few.length) {
                few[some++] = time;
                return;
            }
            if (!spilled) {
                spilled = true;
                many = many == null ? new Histogram(MAX_LATENCY_MICROS, 2) : many;
                for (int each : few) {
                    many.recordValue(each);
                }
            }
            many.recordValue(time);
        }

        /** By nearest rank, as the histogram has it. */
        private int percentile(int percent) {
            if (spilled) {
                return (int) many.getValueAtPercentile(percent);
            }
            return some == 0 ? 0 : few[Math.max(0, (some * percent + 99) / 100 - 1)];
        }

        SecondSummary close() {
            java.util.Arrays.sort(few, 0, some);
            SecondSummary s =
                    new SecondSummary(
                            asked,
                            answered,
                            inTime,
                            rejected,
                            brokenOff,
                            percentile(50),
                            percentile(99));
            asked = answered = inTime = rejected = brokenOff = 0;
            some = 0;
            if (spilled) {
                many.reset();
                spilled = false;
            }
            return s;
        }

        boolean isEmpty() {
            return asked + answered + rejected + brokenOff == 0;
        }
    }

    /**
     * The series of one kind, by name; nothing is put together or allocated for a name that is
     * known.
     */
    private static final class SeriesGroup {
        private final String prefix;
        private final Map<String, SecondAccumulator> named = new HashMap<>();
        private final SecondAccumulator others = new SecondAccumulator();

        SeriesGroup(String prefix) {
            this.prefix = prefix;
        }

        SecondAccumulator of(String name) {
            SecondAccumulator known = named.get(name);
            if (known == null && (named.size() >= MAX_SERIES || name.equals("others"))) {
                return others;
            }
            if (known == null) {
                known = new SecondAccumulator();
                named.put(name, known);
            }
            return known;
        }

        /**
         * Puts what happened into a row; a series that had nothing in its second gives its slot
         * back.
         */
        void close(Map<String, SecondSummary> row) {
            named.forEach(
                    (name, s) -> {
                        if (!s.isEmpty()) {
                            row.put(prefix + name, s.close());
                        }
                    });
            named.keySet().removeIf(name -> !row.containsKey(prefix + name));
            if (!others.isEmpty()) {
                row.put(prefix + "others", others.close());
            }
        }
    }

    /** A volume's account and what else is told of it. */
    static final class VolumeStatistics {
        final String plan;
        final Totals account = new Totals();
        long lastAsked;
        int held;

        VolumeStatistics(String plan) {
            this.plan = plan;
        }

        RequestTally tally() {
            return account.tally();
        }
    }

    private final Map<String, Long> latencyObjectives = new HashMap<>();
    private final Map<String, Totals> categories = new LinkedHashMap<>();
    private final Map<String, Totals> plans = new LinkedHashMap<>();
    private final Map<String, Totals> targets = new LinkedHashMap<>();
    private final LinkedHashMap<String, VolumeStatistics> volumes =
            new LinkedHashMap<>(64, 0.75f, true);
    private final Set<String> dirty = new LinkedHashSet<>();
    private final List<String> evictedVolumes = new ArrayList<>();
    private final SeriesGroup categorySeries = new SeriesGroup("category:"),
            planSeries = new SeriesGroup("plan:"),
            volumeSeries = new SeriesGroup("volume:"),
            targetSeries = new SeriesGroup("target:");
    private final List<SeriesGroup> kinds =
            List.of(categorySeries, planSeries, volumeSeries, targetSeries);
    private final AtomicReferenceArray<Row> ring = new AtomicReferenceArray<>(RETAINED_SECONDS);
    private final boolean isEnabled;
    private long currentSecond = -1;

    public ServiceStatistics(SchedulerSettings given) {
        this(given, true);
    }

    /**
     * @param isEnabled false where nobody will ever look: then nothing is counted and nothing grows
     */
    public ServiceStatistics(SchedulerSettings given, boolean kept) {
        this.isEnabled = kept;
        applySettings(given);
    }

    /** Takes new categories and plans; those there are keep their sums. */
    public void applySettings(SchedulerSettings given) {
        given.requestClasses()
                .forEach(
                        c -> {
                            latencyObjectives.put(c.name(), c.latencyObjectiveMicros());
                            categories.putIfAbsent(c.name(), new Totals());
                        });
        given.plans().forEach(p -> plans.putIfAbsent(p.name(), new Totals()));
    }

    /** How one access ended for its client. */
    public enum Outcome {
        ANSWERED,
        REJECTED,
        FAILED,
        CANCELLED
    }

    public void onRequest(long now, String category, String plan, String volume) {
        if (!isEnabled) {
            return;
        }
        advanceTo(now);
        count(
                categories.get(category),
                categorySeries.of(category),
                a -> a.asked++,
                s -> s.asked++);
        count(plans.get(plan), planSeries.of(plan), a -> a.asked++, s -> s.asked++);
        VolumeStatistics v = volumes.computeIfAbsent(volume, x -> new VolumeStatistics(plan));
        v.lastAsked = now;
        v.held++;
        count(v.account, volumeSeries.of(volume), a -> a.asked++, s -> s.asked++);
        dirty.add(volume);
        evictEldestVolume();
    }

    /**
     * @param took microseconds from its coming in
     */
    public void onRequestEnd(
            long now, String category, String plan, String volume, Outcome how, long took) {
        if (!isEnabled) {
            return;
        }
        advanceTo(now);
        boolean inTime = how == Outcome.ANSWERED && took <= latencyObjectives.get(category);
        end(categories.get(category), categorySeries.of(category), how, inTime, took);
        end(plans.get(plan), planSeries.of(plan), how, inTime, took);
        VolumeStatistics v = volumes.get(volume);
        if (v != null) {
            v.held--;
            end(v.account, volumeSeries.of(volume), how, inTime, took);
            dirty.add(volume);
        }
    }

    public void onAttempt(long now, String target) {
        if (!isEnabled) {
            return;
        }
        advanceTo(now);
        Totals a =
                targets.size() < 4 * MAX_SERIES
                        ? targets.computeIfAbsent(target, t -> new Totals())
                        : targets.get(target);
        count(a, targetSeries.of(target), x -> x.asked++, s -> s.asked++);
    }

    /**
     * @param lag microseconds
     */
    public void onAttemptEnd(long now, String target, Outcome how, long lag) {
        if (!isEnabled) {
            return;
        }
        advanceTo(now);
        end(targets.get(target), targetSeries.of(target), how, how == Outcome.ANSWERED, lag);
    }

    private interface OnAccount {
        void add(Totals a);
    }

    private interface OnSeries {
        void add(SecondAccumulator s);
    }

    private static void count(Totals account, SecondAccumulator of, OnAccount sum, OnSeries now) {
        if (account != null) {
            sum.add(account);
        }
        now.add(of);
    }

    private static void end(
            Totals account, SecondAccumulator of, Outcome how, boolean inTime, long took) {
        switch (how) {
            case ANSWERED -> {
                count(account, of, a -> a.answered++, s -> s.answered++);
                if (inTime) {
                    count(account, of, a -> a.inTime++, s -> s.inTime++);
                }
                of.took(took);
            }
            case REJECTED -> count(account, of, a -> a.rejected++, s -> s.rejected++);
            case FAILED -> count(account, of, a -> a.brokenOff++, s -> s.brokenOff++);
            case CANCELLED -> {}
        }
    }

    private void evictEldestVolume() {
        if (volumes.size() > MAX_VOLUMES) {
            String eldest = volumes.keySet().iterator().next();
            volumes.remove(eldest);
            dirty.remove(eldest);
            evictedVolumes.add(eldest);
        }
    }

    /** Closes the seconds that are over. */
    public void advanceTo(long now) {
        long current = now / 1_000_000;
        if (currentSecond == current) {
            return;
        }
        if (currentSecond >= 0) {
            Map<String, SecondSummary> row = new TreeMap<>();
            for (SeriesGroup kind : kinds) {
                kind.close(row);
            }
            ring.set(
                    (int) (currentSecond % RETAINED_SECONDS),
                    new Row(currentSecond, Map.copyOf(row)));
        }
        currentSecond = current;
    }

    // ---- Reading ----

    /**
     * The rows of the last so many whole seconds, oldest first; seconds in which nothing happened
     * have none.
     */
    public List<Row> rows(long now, int seconds) {
        List<Row> rows = new ArrayList<>();
        long last = now / 1_000_000 - 1;
        for (long s = last - Math.min(RETAINED_SECONDS - 1, seconds) + 1; s <= last; s++) {
            Row row = s < 0 ? null : ring.get((int) (s % RETAINED_SECONDS));
            if (row != null && row.second() == s) {
                rows.add(row);
            }
        }
        return rows;
    }

    Map<String, RequestTally> categories() {
        return tallies(categories);
    }

    Map<String, RequestTally> plans() {
        return tallies(plans);
    }

    private static Map<String, RequestTally> tallies(Map<String, Totals> accounts) {
        Map<String, RequestTally> all = new LinkedHashMap<>();
        accounts.forEach((name, a) -> all.put(name, a.tally()));
        return java.util.Collections.unmodifiableMap(all);
    }

    RequestTally target(String id) {
        Totals a = targets.get(id);
        return a == null ? RequestTally.NONE : a.tally();
    }

    /** Forgets a target that is listed no longer. */
    void removeTarget(String id) {
        targets.remove(id);
    }

    /** Takes up to so many volumes that changed. */
    List<String> pollChangedVolumes(int most) {
        List<String> some = new ArrayList<>(Math.min(most, dirty.size()));
        var each = dirty.iterator();
        while (each.hasNext() && some.size() < most) {
            some.add(each.next());
            each.remove();
        }
        return some;
    }

    int dirty() {
        return dirty.size();
    }

    /** Takes the volumes that made room for others. */
    List<String> pollEvictedVolumes() {
        List<String> gone = new ArrayList<>(evictedVolumes);
        evictedVolumes.clear();
        return gone;
    }

    /** Null where it is not known, or made room for others. */
    VolumeStatistics volume(String name) {
        return volumes.get(name);
    }
}
