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
 * The stand-ins for targets and discovery of one run: who serves each shard now, and what the
 * endpoint list says about it.
 */
final class TargetFleet {
    private final RunContext context;
    private final Scenario scenario;
    private final Discovery discovery;

    /** By shard: the target that serves it now. Guarded by itself once faults are injected. */
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

    /** The targets by shard; the list itself. */
    List<Target> targets() {
        return targets;
    }

    /** Gives the endpoint list the update lag of the scenario's fleet. */
    void resetUpdateLag() {
        long[] usual = scenario.fleet().endpointListLagMicros();
        discovery.setUpdateLag(usual[0], usual[1]);
    }

    /** Publishes the health of a target in the endpoint list, after the list's lag. */
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
    Target replace(Target old) throws IOException {
        announce(old, Health.DRAINING);
        Target next = target(old.id() + "n", old.shard());
        startedAtMicros.put(next.id(), discovery.wallClockMicros());
        next.start(true);
        announce(next, Health.ACTIVE);
        synchronized (targets) {
            targets.set(old.shard(), next);
            replacedTargets.add(old);
        }
        return next;
    }

    void remove(Target target) {
        target.kill();
        announce(target, Health.REMOVED);
    }

    /** The largest part of its warm-up budget that any target was sent. */
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
        Scenario.Fleet f = scenario.fleet();
        double speed =
                f.coreSpeeds()[0]
                        + context.random().nextDouble() * (f.coreSpeeds()[1] - f.coreSpeeds()[0]);
        Scenario.RuleBounds b = scenario.ruleBounds();
        TargetBehavior behavior =
                new TargetBehavior(
                        f.cores(),
                        speed,
                        f.unitMicros(),
                        f.queueCapacity(),
                        f.maxConnections(),
                        f.rememberedExtents(),
                        f.rememberedExtentSaving(),
                        f.deferredWriteFraction(),
                        f.deferredWorkPeriodMicros(),
                        f.pausePeriodMicros(),
                        f.pauseMicros(),
                        b.initialCapacityFraction(),
                        b.warmUpMicros(),
                        b.overloadFactor(),
                        b.overloadWindowMicros(),
                        f.reportsLoad(),
                        f.dropsCancelled(),
                        f.queueingPenalty(),
                        f.connectionSetupMicros(),
                        f.warmUpUnits(),
                        f.workDistribution());
        return new Target(
                id,
                shard,
                behavior,
                context.random().nextLong(),
                context.executor(),
                category -> deduplicationCaches(category, shard),
                context.observer(id),
                context::note,
                context.environment());
    }

    /** The deduplication cache a shard shares with its group; null without idempotency keys. */
    private synchronized DeduplicationCache deduplicationCaches(String category, int shard) {
        for (RequestClass c : scenario.requestClasses()) {
            if (c.name().equals(category) && c.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                String group =
                        c.deduplicationScope() == DeduplicationScope.ALL
                                ? "all"
                                : c.deduplicationScope() == DeduplicationScope.ZONE
                                        ? zone(shard)
                                        : "cell" + shard;
                return deduplicationCaches.computeIfAbsent(
                        category + " " + group,
                        g -> new DeduplicationCache(c.deduplicationWindowMicros()));
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
