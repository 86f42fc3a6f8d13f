package milletyoke.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads what {@link RequestScheduler} believes, for people; decides nothing and changes nothing. To
 * be called by the thread that owns the module, between two of its turns. Times are microseconds.
 */
public final class SchedulerView {
    private SchedulerView() {}

    /**
     * What is believed of one target.
     *
     * @param usable it may be sent to, as the list has it
     * @param startedAtMicros when it started, 0 for long ago
     * @param inFlight relays out
     * @param latencyMicros of its answers, smoothed; 0 for unknown
     * @param nextTrialAtMicros owes answers and gave none: the next trial's time, 0 where it is not
     *     silent
     * @param backingOff what does not fit is kept back from it for now
     * @param queueDelayMicros what is said to wait there, as time; meaningful while {@code
     *     hasLoadReport}
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
     * One shard: the target that holds it (null for none), accesses waiting here for it, and of how
     * many volumes.
     */
    public record ShardView(int shard, String target, int pending, int volumes) {}

    /**
     * What is left of one volume's stores.
     *
     * @param limitUnits units left now of this host's part of its limit, -1 where it has none; a
     *     store is filled by time, so what it held at its last use would say "at its limit" long
     *     after it is not
     * @param reservationUnits units owed of its reserve, as of its last use
     * @param pending accesses waiting here, at all shards
     */
    public record VolumeView(double limitUnits, double reservationUnits, int pending) {}

    public static List<TargetView> targets(RequestScheduler d) {
        List<TargetView> all = new ArrayList<>(d.targets.count);
        for (int t = 0; t < d.targets.count; t++) {
            var x = d.targets;
            if (x.id[t] == null) {
                continue;
            }
            all.add(
                    new TargetView(
                            x.id[t],
                            x.zone[t],
                            x.shardOf[t],
                            x.usable[t],
                            x.startedAt[t],
                            d.slowStart.isWarmingUp(t),
                            x.inFlight[t],
                            x.concurrencyLimit[t],
                            x.latencyMicros[t],
                            x.nextTrialAt[t],
                            d.loadReports.hasReport(t) && x.backoffMicros[t] > 0,
                            d.loadReports.hasReport(t),
                            x.queueDelayMicros[t]));
        }
        return all;
    }

    public static List<ShardView> shards(RequestScheduler d) {
        List<ShardView> all = new ArrayList<>(d.dispatchQueue.byShard().size());
        for (Map.Entry<Integer, ShardQueue> entry : d.dispatchQueue.byShard().entrySet()) {
            ShardQueue shardQueue = entry.getValue();
            all.add(
                    new ShardView(
                            entry.getKey(),
                            shardQueue.target < 0 ? null : d.targets.id[shardQueue.target],
                            shardQueue.queuedCount,
                            shardQueue.byExtraTag.size()));
        }
        return all;
    }

    public static VolumeView volume(RequestScheduler d, String name) {
        VolumeState volume = d.dispatchQueue.volume(name);
        if (volume == null) {
            return new VolumeView(-1, 0, 0);
        }
        int waiting = volume.queuedFlows.stream().mapToInt(flow -> flow.requests.size()).sum();
        return new VolumeView(
                volume.limitBucket == null ? -1 : d.rateLimits.units(volume.limitBucket),
                volume.reservationBucket == null ? 0 : volume.reservationBucket.units,
                waiting);
    }

    /** The part of answers, of late, that told of long queues. */
    public static double lateShare(RequestScheduler d) {
        return d.loadReports.lateShare();
    }

    /** The part of further relays, of late, that succeeded. */
    public static double retrySuccessShare(RequestScheduler d) {
        return d.retryPolicy.retrySuccessShare();
    }
}
