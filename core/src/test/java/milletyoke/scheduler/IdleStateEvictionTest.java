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
 * Which state is evicted, that no volume gains by it, and that memory stays bounded over long
 * service.
 */
@Timeout(300)
class IdleStateEvictionTest {
    private static final long MINUTE = 60_000_000L;

    /**
     * An independent check of rate limits: one token bucket a volume that is never evicted, filled
     * by the plans as they change.
     */
    private static final class Auditor {
        /**
         * By the number in a volume's name; arrays, so that the audit's own memory does not grow.
         */
        private final double[] levels;

        private final long[] at;
        private final List<double[]> plans = new ArrayList<>();
        private final List<Long> since = new ArrayList<>();

        Auditor(long startedAt, ServicePlan plan, int volumes) {
            levels = new double[volumes];
            at = new long[volumes];
            java.util.Arrays.fill(at, startedAt);
            planChanged(startedAt, plan);
        }

        void planChanged(long at, ServicePlan plan) {
            plans.add(new double[] {plan.limitRate(), plan.limitBurst() + plan.limitSlack()});
            since.add(at);
        }

        /** What may be sent at most now: filled through each plan in turn, by what that allowed. */
        double now(int volume, long now) {
            double units = levels[volume];
            for (int p = 0; p < plans.size(); p++) {
                long from = Math.max(at[volume], since.get(p));
                long to = p + 1 < plans.size() ? since.get(p + 1) : now;
                if (to >= from) {
                    units = Math.min(plans.get(p)[1], units + plans.get(p)[0] * (to - from) / 1e6);
                }
            }
            return units;
        }

        void sent(String name, long now, double units) {
            int volume = Integer.parseInt(name.substring(1));
            double left = now(volume, now) - units;
            assertTrue(
                    left >= -1e-6,
                    () -> name + " sent " + units + " with " + (left + units) + " left at " + now);
            levels[volume] = left;
            at[volume] = now;
        }
    }

    /** A scheduler, targets that answer after five milliseconds, and the auditor. */
    private static final class Service {
        final RequestScheduler scheduler = new RequestScheduler();
        final Map<String, Event.RequestReceived> sent = new HashMap<>();
        final List<String> inFlight = new ArrayList<>();
        final Auditor auditor;
        long now = 1_000_000_000_000L;
        long attempts;
        long rejects;
        long next;
        List<ServicePlan> plans;

        Service(ServicePlan capped, int shards) {
            this(capped, shards, 100);
        }

        Service(ServicePlan capped, int shards, int volumes) {
            plans =
                    List.of(
                            new ServicePlan("free", 0, 1, 0, 0, 0),
                            new ServicePlan("paid", 6, 2, 0, 0, 0),
                            capped);
            auditor = new Auditor(now, capped, volumes);
            List<Event.Target> targets = new ArrayList<>();
            for (int t = 0; t < shards; t++) {
                targets.add(new Event.Target(t, "t" + t, "z", Event.Health.ACTIVE, 0));
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
            Event.RequestReceived a =
                    new Event.RequestReceived(
                            "a" + next++,
                            shard,
                            key,
                            volume,
                            2_000_000,
                            plan,
                            key == null || key.startsWith("x") ? "read" : "write",
                            1,
                            units);
            sent.put(a.id(), a);
            handle(a);
        }

        void handle(Event... events) {
            for (Action action : scheduler.decide(now, List.of(events))) {
                if (action instanceof Action.SendAttempt r) {
                    attempts++;
                    inFlight.add(r.id());
                    Event.RequestReceived a = sent.get(r.id());
                    if (a.plan().equals("capped")) {
                        auditor.sent(a.volume(), now, a.units());
                    }
                } else if (action instanceof Action.Reject r) {
                    rejects++;
                    sent.remove(r.id());
                } else if (action instanceof Action.Fail b) {
                    sent.remove(b.id());
                } else if (action instanceof Action.SendProbe p) {
                    now += 1_000;
                    handle(new Event.ProbeEnded(p.target(), Outcome.SUCCEEDED, 1_000, 0));
                }
            }
        }

        void answer() {
            now += 5_000;
            while (!inFlight.isEmpty()) {
                String id = inFlight.remove(inFlight.size() - 1);
                sent.remove(id);
                handle(new Event.AttemptEnded(id, 0, true, Outcome.SUCCEEDED, 5_000));
            }
        }

        void passTime(long time) {
            for (long until = now + time;
                    now < until;
                    now += Math.max(4_000, Math.min(MINUTE, until - now) / 4)) {
                handle(new Event.WakeUp());
                answer();
            }
        }

        int candidateCount() {
            return scheduler.dispatchQueue.evictionCandidates.size();
        }
    }

    @Test
    void evictsAnIdleVolumeOnceItsBucketIsFull() {
        Service service = new Service(new ServicePlan("capped", 0, 1, 0.1, 300, 0), 4);
        service.passTime(60 * MINUTE);
        for (int i = 0; i < 30; i++) {
            service.request("v0", 1, "capped", null, 10);
            service.answer();
        }
        assertEquals(30, service.attempts, "the store was full");
        service.passTime(12 * MINUTE);
        assertTrue(
                service.scheduler.dispatchQueue.volume("v0") != null,
                "its store is far from full: 72 units of 300");
        service.request("v0", 1, "capped", null, 72);
        service.request("v0", 1, "capped", null, 10);
        service.answer();
        assertEquals(31, service.attempts, "returning, it has what it would have had");
        service.passTime(120 * MINUTE);
        assertEquals(null, service.scheduler.dispatchQueue.volume("v0"));
        assertEquals(0, service.candidateCount());
    }

    /**
     * Guards rate limits: a limit raised while a volume is evicted must not be found full on its
     * return.
     */
    @Test
    void limitRaisedAfterEvictionFillsAsIfKept() {
        Service service = new Service(new ServicePlan("capped", 0, 1, 10, 20, 0), 4);
        service.passTime(MINUTE);
        service.request("v0", 1, "capped", null, 20);
        service.answer();
        service.passTime(30 * MINUTE);
        assertEquals(null, service.scheduler.dispatchQueue.volume("v0"));
        service.changePlan(new ServicePlan("capped", 0, 1, 10, 500, 0));
        service.now += 10_000_000; // 20 units then, 100 more since
        service.request("v0", 1, "capped", null, 121);
        service.request("v1", 1, "capped", null, 121);
        assertEquals(1, service.attempts);
        service.request("v0", 1, "capped", null, 119);
        service.request("v1", 1, "capped", null, 119); // nor does one that was never seen
        assertEquals(3, service.attempts);
    }

    /** A flow made anew has a start and an extra tag no lower than had it been kept. */
    @Test
    void evictedFlowReturnsWithNoLowerTags() {
        SplittableRandom chance = new SplittableRandom(3);
        int forgotten = 0;
        boolean joined = false;
        for (int round = 0; round < 300; round++) {
            Service service = new Service(new ServicePlan("capped", 0, 1, 50, 50, 5), 1);
            Map<String, double[]> before = new HashMap<>();
            for (int i = 0; i < 60; i++) {
                service.request(
                        "v" + chance.nextInt(12),
                        0,
                        chance.nextBoolean() ? "free" : "paid",
                        "x" + chance.nextInt(3),
                        1 + chance.nextInt(9));
                if (chance.nextInt(3) == 0) {
                    service.answer();
                }
            }
            service.answer();
            service.answer();
            ShardQueue shardQueue = service.scheduler.dispatchQueue.shardQueue(0);
            shardQueue.flows.forEach(
                    (volume, flow) ->
                            before.put(
                                    volume.name,
                                    new double[] {
                                        Math.max(shardQueue.virtualTime, flow.finishTag),
                                        flow.extraTag
                                    }));
            joined |= before.values().stream().anyMatch(tags -> tags[1] > 0);
            service.passTime(25 * MINUTE);
            forgotten += shardQueue.flows.isEmpty() ? before.size() : 0;
            for (String v : before.keySet()) {
                service.request(v, 0, "free", null, 1);
                FlowQueue flow = shardQueue.flows.get(service.scheduler.dispatchQueue.volume(v));
                assertTrue(
                        flow.finishTag >= before.get(v)[0] && flow.extraTag >= before.get(v)[1], v);
            }
        }
        assertTrue(joined && forgotten > 1_000, forgotten + " forgotten");
    }

    /** Guards tags: a volume without its flow would return with fresh tags at a busy shard. */
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
        Event.RequestReceived access =
                new Event.RequestReceived("a", 0, null, "ahead", 1_000, "free", "read", 1, 1);
        VolumeState ahead = dispatchQueue.volume(access, 0);
        FlowQueue tags = dispatchQueue.flow(shardQueue, ahead, 0);
        tags.finishTag = 100;
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
        Event.RequestReceived other =
                new Event.RequestReceived("b", 0, null, "waits", 1_000, "free", "read", 1, 1);
        PendingRequest waits =
                new PendingRequest(other, 0, read, dispatchQueue.volume(other, 0), null);
        waits.shardQueue = shardQueue;
        dispatchQueue.enqueue(waits, dispatchQueue.flow(shardQueue, waits.volume, 0));
        for (long now = 0; now < 5 * IdleStateEviction.IDLE_MICROS; now += MINUTE) {
            eviction.evictIdle(now, 1);
            assertEquals(ahead, dispatchQueue.volume("ahead"));
            assertEquals(tags, shardQueue.flows.get(dispatchQueue.volume("ahead")));
        }
        dispatchQueue.dequeue(waits);
        for (long now = 5 * IdleStateEviction.IDLE_MICROS;
                now < 8 * IdleStateEviction.IDLE_MICROS;
                now += MINUTE) {
            eviction.evictIdle(now, 1);
        }
        assertEquals(null, dispatchQueue.volume("ahead"), "nobody waits any more");
        assertTrue(shardQueue.virtualTime >= 100);
    }

    /**
     * Guards memory: a key whose quiet time is prolonged again and again must not keep others from
     * being evicted.
     */
    @Test
    void keyWithProlongedQuietTimeDelaysNoOthers() {
        Map<String, KeySequence> turns = new HashMap<>();
        IdleStateEviction eviction =
                new IdleStateEviction(
                        new DispatchQueue(),
                        new TargetTable(),
                        new HashMap<>(),
                        turns,
                        List.of(),
                        bucket -> 0,
                        bucket -> 0);
        KeySequence stuck = new KeySequence("stuck");
        turns.put("stuck", stuck);
        stuck.quietUntil = 10;
        eviction.scheduleKeyCheck(stuck);
        for (int k = 0; k < 50; k++) {
            KeySequence key = new KeySequence("k" + k);
            key.quietUntil = 20L + k;
            turns.put(key.key, key);
            eviction.scheduleKeyCheck(key);
        }
        stuck.quietUntil = 1_000_000;
        eviction.evictIdle(100, 0);
        assertEquals(1, turns.size(), "keys whose quiet time is over are gone");
        eviction.evictIdle(1_000_000, 0);
        assertEquals(0, turns.size());
    }

    /** Guards memory: large turns bring more than eight new volumes each. */
    @Test
    void evictsAsFastAsLargeTurnsAdd() {
        Service service = new Service(new ServicePlan("capped", 0, 1, 50, 50, 5), 1, 100);
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
                service.sent.put("b" + turn + "-" + i, (Event.RequestReceived) batch.get(i));
            }
            service.handle(batch.toArray(new Event[0]));
            for (int round = 0; round < 20; round++) { // what was relayed ends in large turns too
                service.now += 5_000;
                Event[] ends =
                        service.inFlight.stream()
                                .map(
                                        id ->
                                                new Event.AttemptEnded(
                                                        id, 0, true, Outcome.SUCCEEDED, 5_000))
                                .toArray(Event[]::new);
                service.inFlight.clear();
                service.handle(ends);
            }
            service.now += MINUTE;
            most = Math.max(most, service.candidateCount());
        }
        assertTrue(most < 10_000, most + " kept of 80,000; twenty minutes bring 8,000");
    }

    @Test
    void reusesTheIndexOfAnEvictedTarget() {
        Service service = new Service(new ServicePlan("capped", 0, 1, 50, 50, 5), 3);
        for (int generation = 0; generation < 40; generation++) {
            service.handle(
                    new Event.EndpointListReceived(
                            Event.ListScope.REPLACE,
                            List.of(
                                    new Event.Target(
                                            100 + generation,
                                            "g" + generation,
                                            "z",
                                            Event.Health.ACTIVE,
                                            0))));
            service.request("v" + generation, 100 + generation, "free", "k" + generation, 1);
            service.answer();
            service.passTime(15 * MINUTE);
        }
        assertTrue(
                service.scheduler.targets.count < 8, service.scheduler.targets.count + " places");
        assertTrue(
                service.scheduler.dispatchQueue.shardQueues().size() < 8,
                service.scheduler.dispatchQueue.shardQueues().size() + " nodes");
        assertEquals(40, service.attempts);
    }

    /** Weeks of service; {@code -Dmilletyoke.soak=1000000} is the whole of it. */
    @Test
    void memoryStaysBoundedOverLongService() {
        int volumes = Integer.getInteger("milletyoke.soak", 100_000);
        Service service = new Service(new ServicePlan("capped", 0, 1, 2, 20, 1), 30, volumes);
        SplittableRandom chance = new SplittableRandom(9);
        long each = 21L * 24 * 60 * MINUTE / 1_000_000; // a million volumes in three weeks
        int most = 0;
        int mostTargets = 0;
        int mostNodes = 0;
        int generation = 0;
        int replaceEvery = 100;
        List<Long> heaps = new ArrayList<>();
        long began = service.now;
        for (int v = 0; v < volumes; v++) {
            String plan = service.plans.get(v % 3).name();
            for (int i = chance.nextInt(6); i >= 0; i--) {
                service.request(
                        "v" + v,
                        1000 + v % 30 + generation / 30 * 30,
                        plan,
                        i % 3 == 0 ? "k" + v : null,
                        1 + chance.nextInt(9));
            }
            if (chance.nextInt(4) == 0
                    && v > 0) { // one of before returns, from minutes to all the time ago
                int old = v - 1 - chance.nextInt(Math.min(v, 1 << chance.nextInt(20)));
                service.request(
                        "v" + old,
                        1000 + chance.nextInt(30),
                        service.plans.get(old % 3).name(),
                        null,
                        1 + chance.nextInt(30));
            }
            service.answer();
            service.now += chance.nextLong(2 * each);
            service.handle(new Event.WakeUp());
            if (v % replaceEvery == 0) {
                service.handle(targetReplaced(generation, service.now));
                generation++;
            }
            if (v % 50_000 == 0) {
                service.changePlan(
                        new ServicePlan(
                                "capped", 0, 1, 1 + chance.nextInt(5), 10 + chance.nextInt(60), 1));
            }
            most = Math.max(most, service.candidateCount());
            mostTargets = Math.max(mostTargets, service.scheduler.targets.count);
            mostNodes = Math.max(mostNodes, service.scheduler.dispatchQueue.shardQueues().size());
            if (v % Math.max(1, volumes / 10) == volumes / 20) {
                heaps.add(liveHeapKib());
            }
        }
        System.out.printf(
                "%d volumes and %d targets over %.1f days, %d attempts, %d rejected: ",
                volumes,
                generation,
                (service.now - began) / 86_400e6,
                service.attempts,
                service.rejects);
        System.out.printf(
                "at most %d volumes and flows, %d targets, %d shards; live heap KiB %s%n",
                most, mostTargets, mostNodes, heaps);
        assertTrue(service.attempts > volumes, service.attempts + " relays");
        assertTrue(most < 6_000, most + " kept of " + volumes);
        assertTrue(
                mostTargets < 200 && mostNodes < 250,
                mostTargets + " targets, " + mostNodes + " shards");
    }

    private static long liveHeapKib() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1024;
    }

    /** A target starts on the next shard, and the one of sixty shards before is gone. */
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
