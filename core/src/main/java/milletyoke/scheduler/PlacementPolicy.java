package milletyoke.scheduler;

import java.util.SplittableRandom;

/**
 * Chooses the shard of a new object at random, weighted by the spare capacity that the target of
 * each shard is estimated to have.
 */
final class PlacementPolicy {
    private final TargetTable targets;
    private final DispatchQueue dispatchQueue;
    private final ActiveSettings settings;
    private final LoadEstimates estimates;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private final SchedulerTuning tuning;

    PlacementPolicy(
            TargetTable targets,
            DispatchQueue dispatchQueue,
            ActiveSettings settings,
            LoadEstimates estimates,
            SlowStart slowStart,
            LoadReports loadReports,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.dispatchQueue = dispatchQueue;
        this.settings = settings;
        this.estimates = estimates;
        this.slowStart = slowStart;
        this.loadReports = loadReports;
        this.tuning = tuning;
    }

    /** Returns a shard for a request that names none. */
    ShardQueue chooseShard() {
        ShardQueue chosen = chooseByRejection();
        return chosen != null ? chosen : chooseByWeight();
    }

    /**
     * Chooses with the same odds without weighing all shards; returns null if every draw was
     * rejected.
     */
    private ShardQueue chooseByRejection() {
        SplittableRandom random = settings.random();
        int draws = tuning.placementDraws();
        for (int i = 0; dispatchQueue.slotCount() > draws && i < draws; i++) {
            ShardQueue shardQueue = dispatchQueue.randomShard(random);
            if (shardQueue != null
                    && random.nextDouble() * tuning.maxConcurrencyLimit()
                            < spareCapacity(shardQueue)) {
                return shardQueue;
            }
        }
        return null;
    }

    private ShardQueue chooseByWeight() {
        double remaining =
                settings.random().nextDouble()
                        * dispatchQueue.shardQueues().stream()
                                .mapToDouble(this::spareCapacity)
                                .sum();
        ShardQueue chosen = null;
        for (ShardQueue shardQueue : dispatchQueue.shardQueues()) {
            double spareCapacity = spareCapacity(shardQueue);
            if (chosen == null || (remaining > 0 && spareCapacity > 0)) {
                chosen = shardQueue;
            }
            remaining -= spareCapacity;
        }
        return chosen == null ? dispatchQueue.shardQueue(0) : chosen;
    }

    private double spareCapacity(ShardQueue shardQueue) {
        int target = shardQueue.target;
        if (target < 0 || targets.nextTrialAt[target] > 0 || slowStart.isWarmingUp(target)) {
            return 0;
        }
        double queuedByOthers =
                loadReports.hasReport(target)
                        ? targets.queueDelayMicros[target]
                                / Math.max(1, estimates.unloadedLatencyMicros())
                        : 0;
        return targets.concurrencyLimit[target]
                / (1 + targets.inFlight[target] + shardQueue.queuedCount + queuedByOthers);
    }
}
