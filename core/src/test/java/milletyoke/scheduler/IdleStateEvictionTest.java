package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests which state is evicted, that no volume gains by its eviction, and that memory stays bounded
 * over long service.
 */
@Timeout(300)
class IdleStateEvictionTest {
    private static final long MINUTE = 60_000_000L;

    /**
     * Checks rate limits independently of the scheduler: one token bucket per volume, never evicted
     * and filled by the plans as they change.
     */
    private static final class Auditor {
        /**
         * Units by the number in the name of a volume; arrays, so that the memory of the auditor
         * does not grow.
         */
        private final double[] levels;

        private final long[] updatedAt;
        private final List<double[]> plans = new ArrayList<>();
        private final List<Long> planSince = new ArrayList<>();

        Auditor(long startedAt, ServicePlan plan, int volumes) {
            levels = new double[volumes];
            updatedAt = new long[volumes];
            java.util.Arrays.fill(updatedAt, startedAt);
            planChanged(startedAt, plan);
        }

        void planChanged(long now, ServicePlan plan) {
            plans.add(new double[] {plan.limitRate(), plan.limitBurst() + plan.limitSlack()});
            planSince.add(now);
        }

        /** Returns the most units that may be sent now: filled under each plan in turn. */
        double allowedUnits(int volume, long now) {
            double units = levels[volume];
            for (int plan = 0; plan < plans.size(); plan++) {
                long from = Math.max(updatedAt[volume], planSince.get(plan));
                long to = plan + 1 < plans.size() ? planSince.get(plan + 1) : now;
                if (to >= from) {
                    units =
                            Math.min(
                                    plans.get(plan)[1],
                                    units + plans.get(plan)[0] * (to - from) / 1e6);
                }
            }
            return units;
        }

        void recordSent(String name, long now, double units) {
            int volume = Integer.parseInt(name.substring(1));
            double left = allowedUnits(volume, now) - units;
            assertTrue(
                    left >= -1e-6,
                    () ->
                            name
                                    + " sent "
                                    + units
                                    + " units, allowed at most "
                                    + (left + units)
                                    + " at "
                                    + now);
            levels[volume] = left;
            updatedAt[volume] = now;
        }
    }

    /** A scheduler with targets that respond after 5 ms, and the auditor. */
    private static final class Harness {
        final RequestScheduler scheduler = new RequestScheduler();
        final Map<String, Event.RequestReceived> requests = new HashMap<>();
        final List<String> inFlight = new ArrayList<>();
        final Auditor auditor;
        long now = 1_000_000_000_000L;
        long attempts;
        long rejects;
        long nextId;
        List<ServicePlan> plans;

        Harness(ServicePlan capped, int shards) {
            this(capped, shards, 100);
        }

        Harness(ServicePlan capped, int shards, int volumes) {
            plans =
                    List.of(
                            new ServicePlan("free", 0, 1, 0, 0, 0),
                            new ServicePlan("paid", 6, 2, 0, 0, 0),
                            capped);
            auditor = new Auditor(now, capped, volumes);
            List<Event.Target> targets = new ArrayList<>();
            for (int target = 0; target < shards; target++) {
                targets.add(new Event.Target(target, "t" + target, "z", Event.Health.ACTIVE, 0));
            }
            handle(
                    new Event.Started(1, settings()),
                    new Event.EndpointListReceived(Event.ListScope.REPLACE, targets));
        }

        SchedulerSettings settings() {
            return new SchedulerSettings(
                    3,
                    List.of(
                            new RequestClass(
                                    "read",
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false,
                                    300_000,
                                    2),
                            new RequestClass(
                                    "write",
                                    Idempotency.NON_IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    true,
                                    500_000,
                                    2)),
                    plans,
                    new Capabilities(3, true, true, true, 500_000),
                    new RuleLimits(
                            200_000,
                            5_000_000,
                            0.3,
                            10,
                            1_000_000,
                            2,
                            10,
                            0.1,
                            2_000_000,
                            10_000_000),
                    false);
        }

        void changePlan(ServicePlan capped) {
            plans = List.of(plans.get(0), plans.get(1), capped);
            auditor.planChanged(now, capped);
            handle(new Event.SettingsChanged(settings()));
        }

        void request(String volume, int shard, String plan, String key, double units) {
            Event.RequestReceived received =
                    new Event.RequestReceived(
                            "a" + nextId++,
                            shard,
                            key,
                            volume,
                            2_000_000,
                            plan,
                            key == null || key.startsWith("x") ? "read" : "write",
                            1,
                            units);
            requests.put(received.id(), received);
            handle(received);
        }

        void handle(Event... events) {
            for (Action action : scheduler.decide(now, List.of(events))) {
                if (action instanceof Action.SendAttempt attempt) {
                    attempts++;
                    inFlight.add(attempt.id());
                    Event.RequestReceived received = requests.get(attempt.id());
                    if (received.plan().equals("capped")) {
                        auditor.recordSent(received.volume(), now, received.units());
                    }
                } else if (action instanceof Action.Reject rejection) {
                    rejects++;
                    requests.remove(rejection.id());
                } else if (action instanceof Action.Fail failure) {
                    requests.remove(failure.id());
                } else if (action instanceof Action.SendProbe probe) {
                    now += 1_000;
                    handle(new Event.ProbeEnded(probe.target(), Outcome.SUCCEEDED, 1_000, 0));
                }
            }
        }

        void completeAttempts() {
            now += 5_000;
            while (!inFlight.isEmpty()) {
                String id = inFlight.remove(inFlight.size() - 1);
                requests.remove(id);
                handle(new Event.AttemptEnded(id, 0, true, Outcome.SUCCEEDED, 5_000));
            }
        }

        void passTime(long time) {
            for (long until = now + time;
                    now < until;
                    now += Math.max(4_000, Math.min(MINUTE, until - now) / 4)) {
                handle(new Event.WakeUp());
                completeAttempts();
            }
        }

        int candidateCount() {
            return scheduler.dispatchQueue.evictionCandidates.size();
        }
    }

    @Test
    void evictsAnIdleVolumeOnceItsBucketIsFull() {
        Harness harness = new Harness(new ServicePlan("capped", 0, 1, 0.1, 300, 0), 4);
        harness.passTime(60 * MINUTE);
        for (int i = 0; i < 30; i++) {
            harness.request("v0", 1, "capped", null, 10);
            harness.completeAttempts();
        }
        assertEquals(30, harness.attempts, "the token bucket was full");
        harness.passTime(12 * MINUTE);
        assertTrue(
                harness.scheduler.dispatchQueue.volume("v0") != null,
                "the token bucket holds 72 of 300 units");
        harness.request("v0", 1, "capped", null, 72);
        harness.request("v0", 1, "capped", null, 10);
        harness.completeAttempts();
        assertEquals(31, harness.attempts, "a volume that returns has the same units as if kept");
        harness.passTime(120 * MINUTE);
        assertEquals(null, harness.scheduler.dispatchQueue.volume("v0"));
        assertEquals(0, harness.candidateCount());
    }

    /**
     * Guards against a full token bucket on the return of a volume that was evicted when its limit
     * was raised.
     */
    @Test
    void limitRaisedAfterEvictionFillsAsIfKept() {
        Harness harness = new Harness(new ServicePlan("capped", 0, 1, 10, 20, 0), 4);
        harness.passTime(MINUTE);
        harness.request("v0", 1, "capped", null, 20);
        harness.completeAttempts();
        harness.passTime(30 * MINUTE);
        assertEquals(null, harness.scheduler.dispatchQueue.volume("v0"));
        harness.changePlan(new ServicePlan("capped", 0, 1, 10, 500, 0));
        harness.now += 10_000_000; // 20 units at the change, 100 more since
        harness.request("v0", 1, "capped", null, 121);
        harness.request("v1", 1, "capped", null, 121);
        assertEquals(1, harness.attempts);
        harness.request("v0", 1, "capped", null, 119);
        harness.request("v1", 1, "capped", null, 119); // as with an unseen volume
        assertEquals(3, harness.attempts);
    }

    /** A flow created again must have start and extra tags no lower than if it had been kept. */
    @Test
    void evictedFlowReturnsWithNoLowerTags() {
        SplittableRandom random = new SplittableRandom(3);
        int evictedFlows = 0;
        boolean hasExtraTag = false;
        for (int round = 0; round < 300; round++) {
            Harness harness = new Harness(new ServicePlan("capped", 0, 1, 50, 50, 5), 1);
            Map<String, double[]> before = new HashMap<>();
            for (int i = 0; i < 60; i++) {
                harness.request(
                        "v" + random.nextInt(12),
                        0,
                        random.nextBoolean() ? "free" : "paid",
                        "x" + random.nextInt(3),
                        1 + random.nextInt(9));
                if (random.nextInt(3) == 0) {
                    harness.completeAttempts();
                }
            }
            harness.completeAttempts();
            harness.completeAttempts();
            ShardQueue shardQueue = harness.scheduler.dispatchQueue.shardQueue(0);
            shardQueue.flows.forEach(
                    (volume, flow) ->
                            before.put(
                                    volume.name,
                                    new double[] {
                                        Math.max(shardQueue.virtualTime, flow.finishTag),
                                        flow.extraTag
                                    }));
            hasExtraTag |= before.values().stream().anyMatch(tags -> tags[1] > 0);
            harness.passTime(25 * MINUTE);
            evictedFlows += shardQueue.flows.isEmpty() ? before.size() : 0;
            for (String volume : before.keySet()) {
                harness.request(volume, 0, "free", null, 1);
                FlowQueue flow =
                        shardQueue.flows.get(harness.scheduler.dispatchQueue.volume(volume));
                assertTrue(
                        flow.finishTag >= before.get(volume)[0]
                                && flow.extraTag >= before.get(volume)[1],
                        volume);
            }
        }
        assertTrue(hasExtraTag && evictedFlows > 1_000, evictedFlows + " flows evicted");
    }

    /**
     * Guards against the eviction of a flow with tags ahead of the virtual time: its volume would
     * return with fresh tags to a busy shard.
     */
    @Test
    void keepsTagsAheadOfVirtualTimeAtABusyShard() {
        DispatchQueue dispatchQueue = new DispatchQueue();
        IdleStateEviction eviction =
                new IdleStateEviction(
                        dispatchQueue,
                        new TargetTable(),
                        new HashMap<>(),
                        new HashMap<>(),
                        List.of(),
                        bucket -> 0,
                        bucket -> 0);
        ShardQueue shardQueue = dispatchQueue.shardQueue(0);
        Event.RequestReceived aheadReceived =
                new Event.RequestReceived("a", 0, null, "ahead", 1_000, "free", "read", 1, 1);
        VolumeState ahead = dispatchQueue.volume(aheadReceived, 0);
        FlowQueue aheadFlow = dispatchQueue.flow(shardQueue, ahead, 0);
        aheadFlow.finishTag = 100;
        ahead.pendingCount--;
        RequestClass read =
                new RequestClass(
                        "read",
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false,
                        300_000,
                        2);
        Event.RequestReceived waitingReceived =
                new Event.RequestReceived("b", 0, null, "waits", 1_000, "free", "read", 1, 1);
        PendingRequest waiting =
                new PendingRequest(
                        waitingReceived, 0, read, dispatchQueue.volume(waitingReceived, 0), null);
        waiting.shardQueue = shardQueue;
        dispatchQueue.enqueue(waiting, dispatchQueue.flow(shardQueue, waiting.volume, 0));
        for (long now = 0; now < 5 * IdleStateEviction.IDLE_MICROS; now += MINUTE) {
            eviction.evictIdle(now, 1);
            assertEquals(ahead, dispatchQueue.volume("ahead"));
            assertEquals(aheadFlow, shardQueue.flows.get(dispatchQueue.volume("ahead")));
        }
        dispatchQueue.dequeue(waiting);
        for (long now = 5 * IdleStateEviction.IDLE_MICROS;
                now < 8 * IdleStateEviction.IDLE_MICROS;
                now += MINUTE) {
            eviction.evictIdle(now, 1);
        }
        assertEquals(null, dispatchQueue.volume("ahead"), "nothing is queued any more");
        assertTrue(shardQueue.virtualTime >= 100);
    }

    /**
     * Guards against a key whose quiet period is prolonged again and again and keeps other keys
     * from being evicted.
     */
    @Test
    void keyWithProlongedQuietTimeDelaysNoOthers() {
        Map<String, KeySequence> sequences = new HashMap<>();
        IdleStateEviction eviction =
                new IdleStateEviction(
                        new DispatchQueue(),
                        new TargetTable(),
                        new HashMap<>(),
                        sequences,
                        List.of(),
                        bucket -> 0,
                        bucket -> 0);
        KeySequence stuck = new KeySequence("stuck");
        sequences.put("stuck", stuck);
        stuck.quietUntil = 10;
        eviction.scheduleKeyCheck(stuck);
        for (int number = 0; number < 50; number++) {
            KeySequence key = new KeySequence("k" + number);
            key.quietUntil = 20L + number;
            sequences.put(key.key, key);
            eviction.scheduleKeyCheck(key);
        }
        stuck.quietUntil = 1_000_000;
        eviction.evictIdle(100, 0);
        assertEquals(1, sequences.size(), "keys whose quiet period is over are evicted");
        eviction.evictIdle(1_000_000, 0);
        assertEquals(0, sequences.size());
    }

    /**
     * Guards memory against turns that each add more than the eight volumes that a turn checks
     * without events.
     */
    @Test
    void evictsAsFastAsLargeTurnsAdd() {
        Harness harness = new Harness(new ServicePlan("capped", 0, 1, 50, 50, 5), 1, 100);
        int most = 0;
        for (int turn = 0; turn < 400; turn++) {
            List<Event> batch = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                batch.add(
                        new Event.RequestReceived(
                                "b" + turn + "-" + i,
                                0,
                                null,
                                "n" + turn + "-" + i,
                                1_000_000,
                                "free",
                                "read",
                                1,
                                1));
                harness.requests.put("b" + turn + "-" + i, (Event.RequestReceived) batch.get(i));
            }
            harness.handle(batch.toArray(new Event[0]));
            for (int round = 0; round < 20; round++) { // attempts end in large turns too
                harness.now += 5_000;
                Event[] ends =
                        harness.inFlight.stream()
                                .map(
                                        id ->
                                                new Event.AttemptEnded(
                                                        id, 0, true, Outcome.SUCCEEDED, 5_000))
                                .toArray(Event[]::new);
                harness.inFlight.clear();
                harness.handle(ends);
            }
            harness.now += MINUTE;
            most = Math.max(most, harness.candidateCount());
        }
        assertTrue(most < 10_000, most + " candidates kept of 80,000; 20 minutes add 8,000");
    }

    @Test
    void reusesTheIndexOfAnEvictedTarget() {
        Harness harness = new Harness(new ServicePlan("capped", 0, 1, 50, 50, 5), 3);
        for (int generation = 0; generation < 40; generation++) {
            harness.handle(
                    new Event.EndpointListReceived(
                            Event.ListScope.REPLACE,
                            List.of(
                                    new Event.Target(
                                            100 + generation,
                                            "g" + generation,
                                            "z",
                                            Event.Health.ACTIVE,
                                            0))));
            harness.request("v" + generation, 100 + generation, "free", "k" + generation, 1);
            harness.completeAttempts();
            harness.passTime(15 * MINUTE);
        }
        assertTrue(
                harness.scheduler.targets.count < 8,
                harness.scheduler.targets.count + " target indexes");
        assertTrue(
                harness.scheduler.dispatchQueue.shardQueues().size() < 8,
                harness.scheduler.dispatchQueue.shardQueues().size() + " shards");
        assertEquals(40, harness.attempts);
    }

    /** Simulates days of service; {@code -Dmilletyoke.soak=1000000} simulates three weeks. */
    @Test
    void memoryStaysBoundedOverLongService() {
        int volumes = Integer.getInteger("milletyoke.soak", 100_000);
        Harness harness = new Harness(new ServicePlan("capped", 0, 1, 2, 20, 1), 30, volumes);
        SplittableRandom random = new SplittableRandom(9);
        long meanIntervalMicros =
                21L * 24 * 60 * MINUTE / 1_000_000; // a million volumes in three weeks
        int most = 0;
        int mostTargets = 0;
        int mostShards = 0;
        int generation = 0;
        int replaceEvery = 100;
        List<Long> heaps = new ArrayList<>();
        long startedAt = harness.now;
        for (int volume = 0; volume < volumes; volume++) {
            String plan = harness.plans.get(volume % 3).name();
            for (int i = random.nextInt(6); i >= 0; i--) {
                harness.request(
                        "v" + volume,
                        1000 + volume % 30 + generation / 30 * 30,
                        plan,
                        i % 3 == 0 ? "k" + volume : null,
                        1 + random.nextInt(9));
            }
            if (random.nextInt(4) == 0
                    && volume > 0) { // a volume returns after minutes or much longer
                int earlierVolume =
                        volume - 1 - random.nextInt(Math.min(volume, 1 << random.nextInt(20)));
                harness.request(
                        "v" + earlierVolume,
                        1000 + random.nextInt(30),
                        harness.plans.get(earlierVolume % 3).name(),
                        null,
                        1 + random.nextInt(30));
            }
            harness.completeAttempts();
            harness.now += random.nextLong(2 * meanIntervalMicros);
            harness.handle(new Event.WakeUp());
            if (volume % replaceEvery == 0) {
                harness.handle(targetReplaced(generation, harness.now));
                generation++;
            }
            if (volume % 50_000 == 0) {
                harness.changePlan(
                        new ServicePlan(
                                "capped", 0, 1, 1 + random.nextInt(5), 10 + random.nextInt(60), 1));
            }
            most = Math.max(most, harness.candidateCount());
            mostTargets = Math.max(mostTargets, harness.scheduler.targets.count);
            mostShards = Math.max(mostShards, harness.scheduler.dispatchQueue.shardQueues().size());
            if (volume % Math.max(1, volumes / 10) == volumes / 20) {
                heaps.add(liveHeapKib());
            }
        }
        System.out.printf(
                "%d volumes and %d targets over %.1f days, %d attempts, %d rejected: ",
                volumes,
                generation,
                (harness.now - startedAt) / 86_400e6,
                harness.attempts,
                harness.rejects);
        System.out.printf(
                "at most %d volumes and flows, %d targets, %d shards; live heap KiB %s%n",
                most, mostTargets, mostShards, heaps);
        assertTrue(harness.attempts > volumes, harness.attempts + " attempts");
        assertTrue(most < 6_000, most + " candidates kept, volumes: " + volumes);
        assertTrue(
                mostTargets < 200 && mostShards < 250,
                mostTargets + " targets, " + mostShards + " shards");
    }

    private static long liveHeapKib() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1024;
    }

    /** A target starts on the next shard, and the target of sixty shards before is removed. */
    private static Event targetReplaced(int generation, long now) {
        int removed = Math.max(0, generation - 60);
        return new Event.EndpointListReceived(
                Event.ListScope.UPDATE,
                List.of(
                        new Event.Target(
                                1000 + generation, "t" + generation, "z", Event.Health.ACTIVE, now),
                        new Event.Target(
                                1000 + removed, "t" + removed, "z", Event.Health.REMOVED, 0)));
    }
}
