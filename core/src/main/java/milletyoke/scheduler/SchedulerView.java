package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A read-only view of a {@link RequestScheduler} for status pages; makes no decisions and changes
 * nothing. Must be called by the thread that owns the scheduler, between two turns. Times are
 * microseconds.
 */
public final class SchedulerView {
    private SchedulerView() {}

    /**
     * State of one target.
     *
     * @param usable whether the endpoint list allows sending to the target
     * @param startedAtMicros when the target started, 0 for long ago
     * @param inFlight number of attempts in flight
     * @param latencyMicros smoothed latency of responses, 0 while unknown
     * @param nextTrialAtMicros next half-open trial of an unresponsive target, 0 for a responsive
     *     one
     * @param backingOff whether requests that do not fit are held back for now
     * @param queueDelayMicros reported queue delay; meaningful only if {@code hasLoadReport}
     */
    public record TargetView(
            String id,
            String zone,
            int shard,
            boolean usable,
            long startedAtMicros,
            boolean warmingUp,
            int inFlight,
            double concurrencyLimit,
            double latencyMicros,
            long nextTrialAtMicros,
            boolean backingOff,
            boolean hasLoadReport,
            double queueDelayMicros) {}

    /**
     * One shard: the target that serves it (null for none), the number of requests queued here for
     * it, and the number of their volumes.
     */
    public record ShardView(int shard, String target, int pending, int volumes) {}

    /**
     * State of one volume.
     *
     * @param limitUnits units left now of this initiator's part of the rate limit, -1 without one.
     *     Time alone fills a bucket, so its contents as of the last use would show an exhausted
     *     limit long after it has recovered.
     * @param reservationUnits units left below the reservation, as of the last use
     * @param pending number of requests queued here over all shards
     */
    public record VolumeView(double limitUnits, double reservationUnits, int pending) {}

    /** Returns all known targets, by index. */
    public static List<TargetView> targets(RequestScheduler scheduler) {
        List<TargetView> all = new ArrayList<>(scheduler.targets.count);
        for (int index = 0; index < scheduler.targets.count; index++) {
            TargetTable table = scheduler.targets;
            if (table.id[index] == null) {
                continue;
            }
            all.add(
                    new TargetView(
                            table.id[index],
                            table.zone[index],
                            table.shardOf[index],
                            table.usable[index],
                            table.startedAt[index],
                            scheduler.slowStart.isWarmingUp(index),
                            table.inFlight[index],
                            table.concurrencyLimit[index],
                            table.latencyMicros[index],
                            table.nextTrialAt[index],
                            scheduler.loadReports.hasReport(index)
                                    && table.backoffMicros[index] > 0,
                            scheduler.loadReports.hasReport(index),
                            table.queueDelayMicros[index]));
        }
        return all;
    }

    /** Returns all known shards, in order of creation. */
    public static List<ShardView> shards(RequestScheduler scheduler) {
        List<ShardView> all = new ArrayList<>(scheduler.dispatchQueue.byShard().size());
        for (Map.Entry<Integer, ShardQueue> entry : scheduler.dispatchQueue.byShard().entrySet()) {
            ShardQueue shardQueue = entry.getValue();
            all.add(
                    new ShardView(
                            entry.getKey(),
                            shardQueue.target < 0 ? null : scheduler.targets.id[shardQueue.target],
                            shardQueue.queuedCount,
                            shardQueue.byExtraTag.size()));
        }
        return all;
    }

    /** Returns the state of one volume, without units and requests if none is kept. */
    public static VolumeView volume(RequestScheduler scheduler, String name) {
        VolumeState volume = scheduler.dispatchQueue.volume(name);
        if (volume == null) {
            return new VolumeView(-1, 0, 0);
        }
        int queued = volume.queuedFlows.stream().mapToInt(flow -> flow.requests.size()).sum();
        return new VolumeView(
                volume.limitBucket == null ? -1 : scheduler.rateLimits.units(volume.limitBucket),
                volume.reservationBucket == null ? 0 : volume.reservationBucket.units,
                queued);
    }

    /** Returns the smoothed share of responses and probes that indicated a long queue. */
    public static double lateShare(RequestScheduler scheduler) {
        return scheduler.loadReports.lateShare();
    }

    /** Returns the smoothed share of retries that succeeded. */
    public static double retrySuccessShare(RequestScheduler scheduler) {
        return scheduler.retryPolicy.retrySuccessShare();
    }
}
