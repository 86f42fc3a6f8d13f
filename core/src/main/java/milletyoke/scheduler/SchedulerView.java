package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A read-only view of a {@link RequestScheduler} for status pages; it decides and changes nothing.
 * To be called by the thread that owns the scheduler, between two of its turns. Times are
 * microseconds.
 */
public final class SchedulerView {
    private SchedulerView() {}

    /**
     * What is known of one target.
     *
     * @param usable the endpoint list allows sending to it
     * @param startedAtMicros when it started, 0 for long ago
     * @param inFlight attempts in flight
     * @param latencyMicros of its answers, smoothed; 0 for unknown
     * @param nextTrialAtMicros the next half-open trial of an unresponsive target, 0 for a
     *     responsive one
     * @param backingOff what does not fit is kept back from it for now
     * @param queueDelayMicros the reported queue delay; meaningful while {@code hasLoadReport}
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
     * One shard: the target that serves it (null for none), the requests queued here for it, and of
     * how many volumes.
     */
    public record ShardView(int shard, String target, int pending, int volumes) {}

    /**
     * The token buckets of one volume.
     *
     * @param limitUnits units left now of this initiator's part of its rate limit, -1 where it has
     *     none; a bucket is filled by time, so its contents at its last use would say "at its
     *     limit" long after it is not
     * @param reservationUnits units below its reservation, as of its last use
     * @param pending requests queued here, at all shards
     */
    public record VolumeView(double limitUnits, double reservationUnits, int pending) {}

    /** All known targets, by index. */
    public static List<TargetView> targets(RequestScheduler scheduler) {
        List<TargetView> all = new ArrayList<>(scheduler.targets.count);
        for (int t = 0; t < scheduler.targets.count; t++) {
            TargetTable table = scheduler.targets;
            if (table.id[t] == null) {
                continue;
            }
            all.add(
                    new TargetView(
                            table.id[t],
                            table.zone[t],
                            table.shardOf[t],
                            table.usable[t],
                            table.startedAt[t],
                            scheduler.slowStart.isWarmingUp(t),
                            table.inFlight[t],
                            table.concurrencyLimit[t],
                            table.latencyMicros[t],
                            table.nextTrialAt[t],
                            scheduler.loadReports.hasReport(t) && table.backoffMicros[t] > 0,
                            scheduler.loadReports.hasReport(t),
                            table.queueDelayMicros[t]));
        }
        return all;
    }

    /** All known shards, in the order of creation. */
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

    /** One volume; empty figures where nothing is kept of it. */
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

    /** The part of answers, of late, that reported long queues. */
    public static double lateShare(RequestScheduler scheduler) {
        return scheduler.loadReports.lateShare();
    }

    /** The part of retries, of late, that succeeded. */
    public static double retrySuccessShare(RequestScheduler scheduler) {
        return scheduler.retryPolicy.retrySuccessShare();
    }
}
