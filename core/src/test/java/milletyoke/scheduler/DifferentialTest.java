package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The module beside the one from before its work was put in step with what happens (package
 * reference): the same long random streams of events, and equal actions call by call.
 */
class DifferentialTest {
    /**
     * A random world that answers what the module does; it knows nothing of which module that is.
     */
    private static final class World {
        private SplittableRandom chance;
        final SchedulerSettings given;
        final int shards, volumes;

        /**
         * Whether a volume keeps its plan and hosts, as in service; and whether some accesses are
         * far larger than others.
         */
        final boolean steady, uneven;

        final List<Action.SendAttempt> out = new ArrayList<>();
        final List<String> probes = new ArrayList<>();
        final java.util.Map<String, Integer> relays = new java.util.HashMap<>();
        long now = 1_000_000_000L;
        long next;

        World(long seed) {
            chance = new SplittableRandom(seed);
            shards = 1 + chance.nextInt(8);
            volumes = 1 + chance.nextInt(60);
            boolean cold = chance.nextBoolean();
            steady = chance.nextBoolean();
            uneven = chance.nextInt(3) == 0;
            List<RequestClass> categories =
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
                                    false,
                                    500_000,
                                    2),
                            new RequestClass(
                                    "save",
                                    Idempotency.IDEMPOTENCY_KEY,
                                    DeduplicationScope.ZONE,
                                    2_500_000,
                                    chance.nextBoolean(),
                                    500_000,
                                    1),
                            new RequestClass(
                                    "bulk",
                                    Idempotency.IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0,
                                    false,
                                    1_500_000,
                                    1));
            List<ServicePlan> plans =
                    List.of(
                            new ServicePlan("free", 0, 1, 0, 0, 0),
                            new ServicePlan("paid", 6, 2, 0, 0, 0),
                            new ServicePlan("capped", 1, 1, 20, 25, 4));
            given =
                    new SchedulerSettings(
                            chance.nextBoolean() ? 3 : 40,
                            categories,
                            plans,
                            new Capabilities(
                                    1 + chance.nextInt(3),
                                    chance.nextBoolean(),
                                    chance.nextBoolean(),
                                    chance.nextBoolean(),
                                    500_000),
                            new RuleLimits(
                                    chance.nextBoolean() ? 200_000 : 0,
                                    cold ? 5_000_000 : 0,
                                    0.3,
                                    cold ? 10 : 0,
                                    cold ? 1_000_000 : 0,
                                    2,
                                    10,
                                    0.1,
                                    chance.nextBoolean() ? 2_000_000 : 0,
                                    10_000_000),
                            chance.nextBoolean());
        }

        List<Event> start() {
            List<Event> events = new ArrayList<>();
            events.add(new Event.Started(chance.nextLong(), given));
            events.add(list(Event.ListScope.RESTORED));
            return events;
        }

        Event list(Event.ListScope scope) {
            List<Event.Target> targets = new ArrayList<>();
            for (int s = 0; s < shards; s++) {
                if (scope != Event.ListScope.UPDATE || chance.nextInt(shards) == 0) {
                    boolean fresh = chance.nextInt(6) == 0;
                    Event.Health health =
                            chance.nextInt(8) == 0 ? Event.Health.DRAINING : Event.Health.ACTIVE;
                    targets.add(
                            new Event.Target(
                                    s,
                                    "t" + s + (chance.nextInt(5) == 0 ? "n" : ""),
                                    "z" + s % 2,
                                    health,
                                    fresh ? now - chance.nextInt(2_000_000) : 0));
                }
            }
            return new Event.EndpointListReceived(scope, targets);
        }

        /**
         * A step whose draws rest on this one choice, so that steps may be left out without
         * changing others' draws.
         */
        List<Event> step(int choice) {
            chance = new SplittableRandom(choice);
            return step();
        }

        List<Event> step() {
            now += chance.nextInt(50) == 0 ? chance.nextInt(400_000) : chance.nextInt(6_000);
            List<Event> events = new ArrayList<>();
            for (int i = chance.nextInt(5); i > 0; i--) {
                events.add(event());
            }
            if (events.isEmpty()) {
                events.add(new Event.WakeUp());
            }
            return events;
        }

        private Event event() {
            int kind = chance.nextInt(100);
            if (kind < 45) {
                return access();
            } else if (kind < 85 && !out.isEmpty()) {
                return ended();
            } else if (kind < 90 && !probes.isEmpty()) {
                boolean ok = chance.nextInt(5) > 0;
                return new Event.ProbeEnded(
                        probes.remove(chance.nextInt(probes.size())),
                        ok ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                        1000 + chance.nextInt(90_000),
                        chance.nextInt(3) == 0 ? -1 : chance.nextInt(30));
            } else if (kind == 90) {
                return list(
                        chance.nextBoolean() ? Event.ListScope.UPDATE : Event.ListScope.REPLACE);
            } else if (kind == 91) {
                return new Event.EndpointListReceived(Event.ListScope.UNAVAILABLE, List.of());
            } else if (kind == 92 && next > 0) {
                return new Event.RequestClosed(
                        "r" + (next - 1 - chance.nextInt((int) Math.min(next, 30))));
            } else if (kind == 93) {
                List<ServicePlan> plans = new ArrayList<>(given.plans());
                plans.set(
                        2,
                        new ServicePlan(
                                "capped",
                                1,
                                1 + chance.nextInt(3),
                                5 + chance.nextInt(40),
                                5 + chance.nextInt(30),
                                2));
                return new Event.SettingsChanged(
                        new SchedulerSettings(
                                given.initiatorCount(),
                                given.requestClasses(),
                                plans,
                                given.capabilities(),
                                given.limits(),
                                given.mustWatchEndpoints()));
            }
            return new Event.WakeUp();
        }

        private Event access() {
            String category = given.requestClasses().get(chance.nextInt(4)).name();
            int shard = chance.nextInt(10) == 0 ? -1 : chance.nextInt(shards);
            String extent = chance.nextInt(3) == 0 ? null : "x" + chance.nextInt(12);
            long ttl = chance.nextInt(6) == 0 ? 20_000 + chance.nextInt(300_000) : 2_500_000;
            int volume = chance.nextInt(volumes);
            double units =
                    uneven && chance.nextInt(20) == 0
                            ? 1 + chance.nextInt(40)
                            : 1 + chance.nextInt(4);
            return new Event.RequestReceived(
                    "r" + next++,
                    shard,
                    extent,
                    "v" + volume,
                    ttl,
                    given.plans().get(steady ? volume % 3 : chance.nextInt(3)).name(),
                    category,
                    steady ? 1 + volume % 2 : 1 + chance.nextInt(3),
                    units);
        }

        private Event ended() {
            Action.SendAttempt r = out.remove(chance.nextInt(Math.min(out.size(), 6)));
            Outcome[] all = Outcome.values();
            Outcome how =
                    chance.nextInt(4) > 0 ? Outcome.SUCCEEDED : all[chance.nextInt(all.length)];
            int relay = relays.get(r.id()) - 1;
            return new Event.AttemptEnded(
                    r.id(),
                    relay,
                    how == Outcome.SUCCEEDED,
                    how,
                    2_000 + chance.nextInt(chance.nextInt(8) == 0 ? 400_000 : 30_000));
        }

        void did(List<Action> actions) {
            for (Action a : actions) {
                if (a instanceof Action.SendAttempt r) {
                    out.add(r);
                    relays.merge(r.id(), 1, Integer::sum);
                } else if (a instanceof Action.SendProbe p) {
                    probes.add(p.target());
                }
            }
        }
    }

    /**
     * The actions as the digests were recorded: the types' names of that time are part of the text.
     */
    private static String recordedForm(List<Action> actions) {
        return actions.stream()
                .map(DifferentialTest::recordedForm)
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private static String recordedForm(Action action) {
        if (action instanceof Action.SendAttempt a) {
            return "Relay[id=%s, giveUpAt=%d, target=%s]"
                    .formatted(a.id(), a.deadlineMicros(), a.target());
        } else if (action instanceof Action.Reject a) {
            return "Reject[id=%s, retryIn=%d]".formatted(a.id(), a.retryAfterMicros());
        } else if (action instanceof Action.Fail a) {
            return "BreakOff[id=%s]".formatted(a.id());
        } else if (action instanceof Action.CancelAttempt a) {
            return "Cancel[id=%s, relay=%d]".formatted(a.id(), a.attemptNumber());
        } else if (action instanceof Action.SendProbe a) {
            return "Probe[target=%s]".formatted(a.target());
        } else if (action instanceof Action.ScheduleWakeUp a) {
            return "Wake[in=%d]".formatted(a.delayMicros());
        }
        return "FollowList[]";
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("milletyoke.streams", 24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void equalActionsCallByCall(int seed) {
        World world = new World(seed);
        RequestScheduler now = new RequestScheduler();
        milletyoke.scheduler.reference.Decide before = new milletyoke.scheduler.reference.Decide();
        List<Event> events = world.start();
        long relays = 0;
        for (int step = 0; step < 4_000; step++) {
            List<Action> expected = before.decide(world.now, events);
            List<Action> told = now.decide(world.now, events);
            int at = step;
            assertEquals(
                    expected,
                    told,
                    () ->
                            "seed "
                                    + seed
                                    + ", step "
                                    + at
                                    + (world.steady ? " steady" : "")
                                    + (world.uneven ? " uneven" : "")
                                    + " given "
                                    + world.given);
            world.did(told);
            relays += told.stream().filter(a -> a instanceof Action.SendAttempt).count();
            events = world.step();
        }
        assertEquals(true, relays > 100, relays + " relays only");
    }

    /**
     * The same streams against digests recorded while both modules agreed, so that the reference
     * may go. A change of the decisions that is meant changes them: then {@code
     * -Dmilletyoke.record=FILE} writes them anew, and the commit says why.
     */
    @Test
    void streamsGiveTheRecordedActions() throws Exception {
        List<String> digests = new ArrayList<>();
        for (int seed = 1; seed <= 24; seed++) {
            World world = new World(seed);
            RequestScheduler module = new RequestScheduler();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            List<Event> events = world.start();
            for (int step = 0; step < 4_000; step++) {
                List<Action> told = module.decide(world.now, events);
                digest.update(recordedForm(told).getBytes(StandardCharsets.UTF_8));
                world.did(told);
                events = world.step();
            }
            digests.add(seed + " " + HexFormat.of().formatHex(digest.digest()));
        }
        String record = System.getProperty("milletyoke.record");
        if (record != null) {
            Files.write(Path.of(record), digests);
        }
        Path kept = Path.of(DifferentialTest.class.getResource("/streams.txt").toURI());
        assertEquals(Files.readAllLines(kept), digests);
    }

    /**
     * The same with streams that shrink: what is left of one that fails is a short list of steps.
     */
    @Property(
            tries = 150,
            seed = "20261201",
            edgeCases = EdgeCasesMode.NONE,
            generation = GenerationMode.RANDOMIZED)
    void equalActionsOfStreamsThatShrink(
            @ForAll @IntRange(min = 1, max = 1 << 20) int seed,
            @ForAll @Size(min = 1, max = 800)
                    List<@IntRange(max = Integer.MAX_VALUE) Integer> steps) {
        World world = new World(seed);
        RequestScheduler now = new RequestScheduler();
        milletyoke.scheduler.reference.Decide before = new milletyoke.scheduler.reference.Decide();
        List<Event> events = world.start();
        for (int step : steps) {
            List<Action> expected = before.decide(world.now, events);
            List<Action> told = now.decide(world.now, events);
            assertEquals(expected, told);
            world.did(told);
            events = world.step(step);
        }
    }
}
