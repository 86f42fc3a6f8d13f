package milletyoke.scenario;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.standins.DeduplicationCache;
import milletyoke.standins.Discovery;
import milletyoke.standins.Target;
import milletyoke.standins.TargetBehavior;
import milletyoke.wire.proto.Health;

/**
 * The stand-ins for the targets and discovery of one run. Tracks which target serves each shard and
 * publishes the targets in the endpoint list.
 */
final class TargetFleet {
    private final RunContext context;
    private final Scenario scenario;
    private final Discovery discovery;

    /** The current target of each shard. Guarded by itself once faults are injected. */
    private final List<Target> targets = new ArrayList<>();

    private final List<Target> replacedTargets = new ArrayList<>();
    private final Map<String, Long> startedAtMicros = new ConcurrentHashMap<>();
    private final Map<String, DeduplicationCache> deduplicationCaches = new HashMap<>();

    TargetFleet(RunContext context) throws IOException {
        this.context = context;
        this.scenario = context.scenario();
        discovery =
                new Discovery(
                        0,
                        context.random().nextLong(),
                        context.executor(),
                        context.observer("discovery"),
                        context.environment());
        resetUpdateLag();
        for (int shard = 0; shard < scenario.fleet().targets(); shard++) {
            Target target = target("t" + (shard + 1), shard);
            target.start(false);
            targets.add(target);
            discovery.update(entry(target, Health.ACTIVE));
        }
    }

    Discovery discovery() {
        return discovery;
    }

    /** Returns the targets by shard; this is the live list, not a copy. */
    List<Target> targets() {
        return targets;
    }

    /** Resets the update lag of the endpoint list to that of the scenario. */
    void resetUpdateLag() {
        long[] lagMicros = scenario.fleet().endpointListLagMicros();
        discovery.setUpdateLag(lagMicros[0], lagMicros[1]);
    }

    /** Publishes the health of a target in the endpoint list, after its update lag. */
    void announce(Target target, Health health) {
        discovery.scheduleUpdate(entry(target, health));
    }

    List<Target> select(Fault fault) {
        synchronized (targets) {
            return context.select(fault.selection(), targets.size()).stream()
                    .map(targets::get)
                    .toList();
        }
    }

    /** Kills a target and starts it again, warming up, after a downtime in microseconds. */
    void restart(Target target, long downtimeMicros) {
        target.kill();
        announce(target, Health.REMOVED);
        context.schedule(
                downtimeMicros,
                () -> {
                    startedAtMicros.put(target.id(), discovery.wallClockMicros());
                    target.start(true);
                    announce(target, Health.ACTIVE);
                });
    }

    /** Drains a target and starts its successor, which warms up under a new id. */
    Target replace(Target replaced) throws IOException {
        announce(replaced, Health.DRAINING);
        Target successor = target(replaced.id() + "n", replaced.shard());
        startedAtMicros.put(successor.id(), discovery.wallClockMicros());
        successor.start(true);
        announce(successor, Health.ACTIVE);
        synchronized (targets) {
            targets.set(replaced.shard(), successor);
            replacedTargets.add(replaced);
        }
        return successor;
    }

    void remove(Target target) {
        target.kill();
        announce(target, Health.REMOVED);
    }

    /** Returns the largest fraction of its warm-up budget that any target was sent. */
    double warmUpBudgetUsed() {
        return Stream.concat(targets.stream(), replacedTargets.stream())
                .mapToDouble(Target::warmUpBudgetUsed)
                .max()
                .orElse(0);
    }

    void close() {
        Stream.concat(targets.stream(), replacedTargets.stream()).forEach(Target::kill);
        discovery.stop();
    }

    private String zone(int shard) {
        return "zone-" + (1 + shard % scenario.fleet().zones());
    }

    private Target target(String id, int shard) {
        Scenario.Fleet fleet = scenario.fleet();
        double speed =
                fleet.coreSpeeds()[0]
                        + context.random().nextDouble()
                                * (fleet.coreSpeeds()[1] - fleet.coreSpeeds()[0]);
        Scenario.RuleBounds ruleBounds = scenario.ruleBounds();
        TargetBehavior behavior =
                new TargetBehavior(
                        fleet.cores(),
                        speed,
                        fleet.unitMicros(),
                        fleet.queueCapacity(),
                        fleet.maxConnections(),
                        fleet.cachedExtents(),
                        fleet.cachedExtentSaving(),
                        fleet.deferredWriteFraction(),
                        fleet.deferredWorkPeriodMicros(),
                        fleet.pausePeriodMicros(),
                        fleet.pauseMicros(),
                        ruleBounds.initialCapacityFraction(),
                        ruleBounds.warmUpMicros(),
                        ruleBounds.overloadFactor(),
                        ruleBounds.overloadWindowMicros(),
                        fleet.reportsLoad(),
                        fleet.dropsCancelled(),
                        fleet.queueingPenalty(),
                        fleet.connectionSetupMicros(),
                        fleet.warmUpUnits(),
                        fleet.workDistribution());
        return new Target(
                id,
                shard,
                behavior,
                context.random().nextLong(),
                context.executor(),
                requestClass -> deduplicationCaches(requestClass, shard),
                context.observer(id),
                context::note,
                context.environment());
    }

    /**
     * Returns the deduplication cache that a shard shares with its group; null for a request class
     * without idempotency keys.
     */
    private synchronized DeduplicationCache deduplicationCaches(String requestClass, int shard) {
        for (RequestClass candidate : scenario.requestClasses()) {
            if (candidate.name().equals(requestClass)
                    && candidate.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                String group =
                        candidate.deduplicationScope() == DeduplicationScope.ALL
                                ? "all"
                                : candidate.deduplicationScope() == DeduplicationScope.ZONE
                                        ? zone(shard)
                                        : "cell" + shard;
                return deduplicationCaches.computeIfAbsent(
                        requestClass + " " + group,
                        key -> new DeduplicationCache(candidate.deduplicationWindowMicros()));
            }
        }
        return null;
    }

    private milletyoke.wire.proto.Target entry(Target target, Health health) {
        return Discovery.entry(
                target,
                zone(target.shard()),
                health,
                startedAtMicros.getOrDefault(target.id(), 0L));
    }
}
