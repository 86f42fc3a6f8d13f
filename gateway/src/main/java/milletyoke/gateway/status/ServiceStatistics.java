package milletyoke.gateway.status;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
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

/**
 * Counts requests and attempts and their outcomes by request class, plan, volume and target: totals
 * since the start, and a ring buffer with one row per second for fifteen minutes. Written only by
 * the event loop; the rows are immutable and may be read by any thread. Times are microseconds of
 * the monotonic clock.
 *
 * <p>Memory is bounded, whatever volumes clients name: totals are kept for {@value #MAX_VOLUMES}
 * volumes, of which the least recently used is evicted. In each second {@value #MAX_SERIES} volumes
 * and as many targets have a series; further ones are counted under {@code others}.
 */
public final class ServiceStatistics {
    /** Number of seconds for which rows are kept. */
    public static final int RETAINED_SECONDS = 900;

    static final int MAX_VOLUMES = 10_000;
    static final int MAX_SERIES = 128;
    private static final int MAX_TARGETS = 4 * MAX_SERIES;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Map<String, Long> latencyObjectives = new HashMap<>();
    private final Map<String, Totals> categories = new LinkedHashMap<>();
    private final Map<String, Totals> plans = new LinkedHashMap<>();
    private final Map<String, Totals> targets = new LinkedHashMap<>();

    /** In order of last use, least recently used first. */
    private final LinkedHashMap<String, VolumeStatistics> volumes =
            new LinkedHashMap<>(64, 0.75f, true);

    private final Set<String> changedVolumes = new LinkedHashSet<>();
    private final List<String> evictedVolumes = new ArrayList<>();
    private final SeriesGroup categorySeries = new SeriesGroup("category:", MAX_SERIES);
    private final SeriesGroup planSeries = new SeriesGroup("plan:", MAX_SERIES);
    private final SeriesGroup volumeSeries = new SeriesGroup("volume:", MAX_SERIES);
    private final SeriesGroup targetSeries = new SeriesGroup("target:", MAX_SERIES);
    private final List<SeriesGroup> seriesGroups =
            List.of(categorySeries, planSeries, volumeSeries, targetSeries);
    private final AtomicReferenceArray<Row> ring = new AtomicReferenceArray<>(RETAINED_SECONDS);
    private final boolean isEnabled;
    private long currentSecond = -1;

    /** How a request ended for its client, or an attempt at its target. */
    public enum Outcome {
        ANSWERED,
        REJECTED,
        /** Failed with an unknown outcome. */
        FAILED,
        /** The client cancelled or disconnected. */
        CANCELLED
    }

    /**
     * The summaries of all series in one second.
     *
     * @param series summaries by key; keys are {@code category:}, {@code plan:}, {@code volume:} or
     *     {@code target:} followed by a name
     */
    public record Row(long second, Map<String, SecondSummary> series) {}

    /** The totals and the last use of one volume. */
    static final class VolumeStatistics {
        final String plan;
        final Totals totals = new Totals();
        long lastRequestMicros;
        int pendingRequests;

        VolumeStatistics(String plan) {
            this.plan = plan;
        }

        RequestTally tally() {
            return totals.tally();
        }
    }

    /** Creates statistics for the request classes and plans of the settings. */
    public ServiceStatistics(SchedulerSettings settings) {
        this(settings, true);
    }

    /**
     * Creates statistics that may be disabled.
     *
     * @param isEnabled false where nothing reads the statistics; nothing is then counted
     */
    public ServiceStatistics(SchedulerSettings settings, boolean isEnabled) {
        this.isEnabled = isEnabled;
        applySettings(settings);
    }

    /** Adds the new request classes and plans; existing ones keep their totals. */
    public void applySettings(SchedulerSettings settings) {
        for (SchedulerSettings.RequestClass requestClass : settings.requestClasses()) {
            latencyObjectives.put(requestClass.name(), requestClass.latencyObjectiveMicros());
            categories.putIfAbsent(requestClass.name(), new Totals());
        }
        for (SchedulerSettings.ServicePlan plan : settings.plans()) {
            plans.putIfAbsent(plan.name(), new Totals());
        }
    }

    /** Counts an admitted request. */
    public void onRequest(long nowMicros, String requestClass, String plan, String volume) {
        if (!isEnabled) {
            return;
        }
        advanceTo(nowMicros);
        countRequest(categories.get(requestClass), categorySeries.series(requestClass));
        countRequest(plans.get(plan), planSeries.series(plan));
        VolumeStatistics statistics =
                volumes.computeIfAbsent(volume, name -> new VolumeStatistics(plan));
        statistics.lastRequestMicros = nowMicros;
        statistics.pendingRequests++;
        countRequest(statistics.totals, volumeSeries.series(volume));
        changedVolumes.add(volume);
        evictEldestVolume();
    }

    /**
     * Counts the end of a request.
     *
     * @param latencyMicros time since its arrival
     */
    public void onRequestEnd(
            long nowMicros,
            String requestClass,
            String plan,
            String volume,
            Outcome outcome,
            long latencyMicros) {
        if (!isEnabled) {
            return;
        }
        advanceTo(nowMicros);
        boolean isOnTime =
                outcome == Outcome.ANSWERED && latencyMicros <= latencyObjectives.get(requestClass);
        countEnd(
                categories.get(requestClass),
                categorySeries.series(requestClass),
                outcome,
                isOnTime,
                latencyMicros);
        countEnd(plans.get(plan), planSeries.series(plan), outcome, isOnTime, latencyMicros);
        VolumeStatistics statistics = volumes.get(volume);
        if (statistics != null) {
            statistics.pendingRequests--;
            SecondAccumulator series = volumeSeries.series(volume);
            countEnd(statistics.totals, series, outcome, isOnTime, latencyMicros);
            changedVolumes.add(volume);
        }
    }

    /** Counts an attempt that was sent. */
    public void onAttempt(long nowMicros, String target) {
        if (!isEnabled) {
            return;
        }
        advanceTo(nowMicros);
        Totals totals =
                targets.size() < MAX_TARGETS
                        ? targets.computeIfAbsent(target, id -> new Totals())
                        : targets.get(target);
        countRequest(totals, targetSeries.series(target));
    }

    /**
     * Counts the end of an attempt.
     *
     * @param latencyMicros time since it was sent
     */
    public void onAttemptEnd(long nowMicros, String target, Outcome outcome, long latencyMicros) {
        if (!isEnabled) {
            return;
        }
        advanceTo(nowMicros);
        countEnd(
                targets.get(target),
                targetSeries.series(target),
                outcome,
                outcome == Outcome.ANSWERED,
                latencyMicros);
    }

    private static void countRequest(Totals totals, SecondAccumulator series) {
        if (totals != null) {
            totals.requests++;
        }
        series.requests++;
    }

    private static void countEnd(
            Totals totals,
            SecondAccumulator series,
            Outcome outcome,
            boolean isOnTime,
            long latencyMicros) {
        countInSecond(series, outcome, isOnTime, latencyMicros);
        if (totals != null) {
            countInTotals(totals, outcome, isOnTime);
        }
    }

    private static void countInSecond(
            SecondAccumulator series, Outcome outcome, boolean isOnTime, long latencyMicros) {
        switch (outcome) {
            case ANSWERED -> {
                series.answered++;
                series.onTime += isOnTime ? 1 : 0;
                series.latencies.add(latencyMicros);
            }
            case REJECTED -> series.rejected++;
            case FAILED -> series.failed++;
            case CANCELLED -> {}
        }
    }

    private static void countInTotals(Totals totals, Outcome outcome, boolean isOnTime) {
        switch (outcome) {
            case ANSWERED -> {
                totals.answered++;
                totals.onTime += isOnTime ? 1 : 0;
            }
            case REJECTED -> totals.rejected++;
            case FAILED -> totals.failed++;
            case CANCELLED -> {}
        }
    }

    private void evictEldestVolume() {
        if (volumes.size() > MAX_VOLUMES) {
            String eldest = volumes.keySet().iterator().next();
            volumes.remove(eldest);
            changedVolumes.remove(eldest);
            evictedVolumes.add(eldest);
        }
    }

    /** Completes the row of the current second if the given time is in a later one. */
    public void advanceTo(long nowMicros) {
        long second = nowMicros / MICROS_PER_SECOND;
        if (currentSecond == second) {
            return;
        }
        if (currentSecond >= 0) {
            Map<String, SecondSummary> row = new TreeMap<>();
            for (SeriesGroup group : seriesGroups) {
                group.finishSecond(row);
            }
            int slot = (int) (currentSecond % RETAINED_SECONDS);
            ring.set(slot, new Row(currentSecond, Map.copyOf(row)));
        }
        currentSecond = second;
    }

    /**
     * Returns the rows of the last complete seconds, oldest first; seconds without a row are left
     * out. May be called by any thread.
     */
    public List<Row> rows(long nowMicros, int seconds) {
        List<Row> rows = new ArrayList<>();
        long last = nowMicros / MICROS_PER_SECOND - 1;
        long first = last - Math.min(RETAINED_SECONDS - 1, seconds) + 1;
        for (long second = first; second <= last; second++) {
            Row row = second < 0 ? null : ring.get((int) (second % RETAINED_SECONDS));
            if (row != null && row.second() == second) {
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

    private static Map<String, RequestTally> tallies(Map<String, Totals> totalsByName) {
        Map<String, RequestTally> tallies = new LinkedHashMap<>();
        totalsByName.forEach((name, totals) -> tallies.put(name, totals.tally()));
        return Collections.unmodifiableMap(tallies);
    }

    RequestTally target(String id) {
        Totals totals = targets.get(id);
        return totals == null ? RequestTally.NONE : totals.tally();
    }

    /** Removes the totals of a target that is no longer in the endpoint list. */
    void removeTarget(String id) {
        targets.remove(id);
    }

    /** Removes and returns the names of up to {@code max} volumes that changed. */
    List<String> pollChangedVolumes(int max) {
        List<String> polled = new ArrayList<>(Math.min(max, changedVolumes.size()));
        Iterator<String> changed = changedVolumes.iterator();
        while (changed.hasNext() && polled.size() < max) {
            polled.add(changed.next());
            changed.remove();
        }
        return polled;
    }

    int changedVolumeCount() {
        return changedVolumes.size();
    }

    /** Removes and returns the names of the volumes that were evicted. */
    List<String> pollEvictedVolumes() {
        List<String> polled = new ArrayList<>(evictedVolumes);
        evictedVolumes.clear();
        return polled;
    }

    /** Returns the statistics of a volume; null if it has none or was evicted. */
    VolumeStatistics volume(String name) {
        return volumes.get(name);
    }
}
