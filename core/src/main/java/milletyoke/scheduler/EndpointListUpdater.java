package milletyoke.scheduler;

import java.util.Arrays;
import java.util.Map;
import milletyoke.scheduler.api.Event;

/** Applies endpoint lists: sets which targets are usable, and which one serves each shard. */
final class EndpointListUpdater {
    private final TargetTable targets;
    private final Map<String, Integer> targetIndex;
    private final DispatchQueue dispatchQueue;
    private final TargetHealth targetHealth;
    private final SchedulerTuning tuning;

    EndpointListUpdater(
            TargetTable targets,
            Map<String, Integer> targetIndex,
            DispatchQueue dispatchQueue,
            TargetHealth targetHealth,
            SchedulerTuning tuning) {
        this.targets = targets;
        this.targetIndex = targetIndex;
        this.dispatchQueue = dispatchQueue;
        this.targetHealth = targetHealth;
        this.tuning = tuning;
    }

    /** Applies a full or partial endpoint list. */
    void apply(Event.EndpointListReceived list) {
        boolean isUpdate = list.scope() == Event.ListScope.UPDATE;
        if (!isUpdate) {
            Arrays.fill(targets.usable, false);
        }
        list.targets().forEach(this::applyTarget);
        if (isUpdate) {
            list.targets().forEach(t -> selectTarget(dispatchQueue.shardQueue(t.shard())));
        } else {
            dispatchQueue.shardQueues().forEach(this::selectTarget);
        }
    }

    private void applyTarget(Event.Target listed) {
        int target = targetIndex.computeIfAbsent(listed.id(), targets::add);
        boolean isNew = targets.incarnation[target] == 0;
        ShardQueue before =
                dispatchQueue.shardQueue(isNew ? listed.shard() : targets.shardOf[target]);
        targets.updateLocation(target, listed);
        before.listedTargets.remove(target);
        dispatchQueue.shardQueue(targets.shardOf[target]).listedTargets.add(target);
        selectTarget(before);
        targets.usable[target] = listed.health() == Event.Health.ACTIVE;
        if (isNew || listed.startedAtMicros() > targets.startedAt[target]) {
            targets.startedAt[target] = listed.startedAtMicros();
            targets.beginIncarnation(target, tuning.initialConcurrencyLimit());
        }
        targetHealth.scheduleCheck(target);
    }

    /** Makes the usable target that started last serve the shard. */
    private void selectTarget(ShardQueue shardQueue) {
        shardQueue.target = -1;
        for (int target : shardQueue.listedTargets) {
            boolean isNewer =
                    shardQueue.target < 0
                            || targets.startedAt[target] >= targets.startedAt[shardQueue.target];
            if (targets.usable[target] && isNewer) {
                shardQueue.target = target;
            }
        }
        dispatchQueue.invalidate(shardQueue);
    }
}
