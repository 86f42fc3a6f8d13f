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
import milletyoke.scheduler.api.SchedulerSettings.Capabilities;
import milletyoke.scheduler.api.SchedulerSettings.DeduplicationScope;
import milletyoke.scheduler.api.SchedulerSettings.Idempotency;
import milletyoke.scheduler.api.SchedulerSettings.RequestClass;
import milletyoke.scheduler.api.SchedulerSettings.RuleLimits;
import milletyoke.scheduler.api.SchedulerSettings.ServicePlan;
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
    private static final class EventStream {
        private SplittableRandom random;
        final SchedulerSettings settings;
        final int shards;
        final int volumes;

        /**
         * Whether a volume keeps its plan and hosts, as in service; and whether some accesses are
         * far larger than others.
         */
        final boolean steady;

        final boolean uneven;

        final List<Action.SendAttempt> inFlight = new ArrayList<>();
        final List<String> probes = new ArrayList<>();
        final java.util.Map<String, Integer> attempts = new java.util.HashMap<>();
        long now = 1_000_000_000L;
        long nextRequest;

        EventStream(long seed) {
            random = new SplittableRandom(seed);
            shards = 1 + random.nextInt(8);
            volumes = 1 + random.nextInt(60);
            boolean cold = random.nextBoolean();
            steady = random.nextBoolean();
            uneven = random.nextInt(3) == 0;
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
                                    random.nextBoolean(),
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
            settings =
                    new SchedulerSettings(
                            random.nextBoolean() ? 3 : 40,
                            categories,
                            plans,
                            new Capabilities(
                                    1 + random.nextInt(3),
                                    random.nextBoolean(),
                                    random.nextBoolean(),
                                    random.nextBoolean(),
                                    500_000),
                            new RuleLimits(
                                    random.nextBoolean() ? 200_000 : 0,
                                    cold ? 5_000_000 : 0,
                                    0.3,
                                    cold ? 10 : 0,
                                    cold ? 1_000_000 : 0,
                                    2,
                                    10,
                                    0.1,
                                    random.nextBoolean() ? 2_000_000 : 0,
                                    10_000_000),
                            random.nextBoolean());
        }

        List<Event> start() {
            List<Event> events = new ArrayList<>();
            events.add(new Event.Started(random.nextLong(), settings));
            events.add(endpointList(Event.ListScope.RESTORED));
            return events;
        }

        Event endpointList(Event.ListScope scope) {
            List<Event.Target> targets = new ArrayList<>();
            for (int s = 0; s < shards; s++) {
                if (scope != Event.ListScope.UPDATE || random.nextInt(shards) == 0) {
                    boolean fresh = random.nextInt(6) == 0;
                    Event.Health health =
                            random.nextInt(8) == 0 ? Event.Health.DRAINING : Event.Health.ACTIVE;
                    targets.add(
                            new Event.Target(
                                    s,
                                    "t" + s + (random.nextInt(5) == 0 ? "n" : ""),
                                    "z" + s % 2,
                                    health,
                                    fresh ? now - random.nextInt(2_000_000) : 0));
                }
            }
            return new Event.EndpointListReceived(scope, targets);
        }

        /**
         * A step whose draws rest on this one choice, so that steps may be left out without
         * changing others' draws.
         */
        List<Event> step(int choice) {
            random = new SplittableRandom(choice);
            return step();
        }

        List<Event> step() {
            now += random.nextInt(50) == 0 ? random.nextInt(400_000) : random.nextInt(6_000);
            List<Event> events = new ArrayList<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                events.add(event());
            }
            if (events.isEmpty()) {
                events.add(new Event.WakeUp());
            }
            return events;
        }

        private Event event() {
            int kind = random.nextInt(100);
            if (kind < 45) {
                return requestReceived();
            } else if (kind < 85 && !inFlight.isEmpty()) {
                return attemptEnded();
            } else if (kind < 90 && !probes.isEmpty()) {
                boolean ok = random.nextInt(5) > 0;
                return new Event.ProbeEnded(
                        probes.remove(random.nextInt(probes.size())),
                        ok ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
                        1000 + random.nextInt(90_000),
                        random.nextInt(3) == 0 ? -1 : random.nextInt(30));
            } else if (kind == 90) {
                return endpointList(
                        random.nextBoolean() ? Event.ListScope.UPDATE : Event.ListScope.REPLACE);
            } else if (kind == 91) {
                return new Event.EndpointListReceived(Event.ListScope.UNAVAILABLE, List.of());
            } else if (kind == 92 && nextRequest > 0) {
                return new Event.RequestClosed(
                        "r" + (nextRequest - 1 - random.nextInt((int) Math.min(nextRequest, 30))));
            } else if (kind == 93) {
                List<ServicePlan> plans = new ArrayList<>(settings.plans());
                plans.set(
                        2,
                        new ServicePlan(
                                "capped",
                                1,
                                1 + random.nextInt(3),
                                5 + random.nextInt(40),
                                5 + random.nextInt(30),
                                2));
                return new Event.SettingsChanged(
                        new SchedulerSettings(
                                settings.initiatorCount(),
                                settings.requestClasses(),
                                plans,
                                settings.capabilities(),
                                settings.limits(),
                                settings.mustWatchEndpoints()));
            }
            return new Event.WakeUp();
        }

        private Event requestReceived() {
            String category = settings.requestClasses().get(random.nextInt(4)).name();
            int shard = random.nextInt(10) == 0 ? -1 : random.nextInt(shards);
            String extent = random.nextInt(3) == 0 ? null : "x" + random.nextInt(12);
            long ttl = random.nextInt(6) == 0 ? 20_000 + random.nextInt(300_000) : 2_500_000;
            int volume = random.nextInt(volumes);
            double units =
                    uneven && random.nextInt(20) == 0
                            ? 1 + random.nextInt(40)
                            : 1 + random.nextInt(4);
            return new Event.RequestReceived(
                    "r" + nextRequest++,
                    shard,
                    extent,
                    "v" + volume,
                    ttl,
                    settings.plans().get(steady ? volume % 3 : random.nextInt(3)).name(),
                    category,
                    steady ? 1 + volume % 2 : 1 + random.nextInt(3),
                    units);
        }

        private Event attemptEnded() {
            Action.SendAttempt r = inFlight.remove(random.nextInt(Math.min(inFlight.size(), 6)));
            Outcome[] all = Outcome.values();
            Outcome how =
                    random.nextInt(4) > 0 ? Outcome.SUCCEEDED : all[random.nextInt(all.length)];
            int relay = attempts.get(r.id()) - 1;
            return new Event.AttemptEnded(
                    r.id(),
                    relay,
                    how == Outcome.SUCCEEDED,
                    how,
                    2_000 + random.nextInt(random.nextInt(8) == 0 ? 400_000 : 30_000));
        }

        void carryOut(List<Action> actions) {
            for (Action a : actions) {
                if (a instanceof Action.SendAttempt r) {
                    inFlight.add(r);
                    attempts.merge(r.id(), 1, Integer::sum);
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
    void returnsTheReferencesActionsCallByCall(int seed) {
        EventStream stream = new EventStream(seed);
        RequestScheduler now = new RequestScheduler();
        milletyoke.scheduler.reference.ReferenceScheduler before =
                new milletyoke.scheduler.reference.ReferenceScheduler();
        List<Event> events = stream.start();
        long relays = 0;
        for (int step = 0; step < 4_000; step++) {
            List<Action> expected = before.decide(stream.now, events);
            List<Action> told = now.decide(stream.now, events);
            int at = step;
            assertEquals(
                    expected,
                    told,
                    () ->
                            "seed "
                                    + seed
                                    + ", step "
                                    + at
                                    + (stream.steady ? " steady" : "")
                                    + (stream.uneven ? " uneven" : "")
                                    + " given "
                                    + stream.settings);
            stream.carryOut(told);
            relays += told.stream().filter(a -> a instanceof Action.SendAttempt).count();
            events = stream.step();
        }
        assertEquals(true, relays > 100, relays + " relays only");
    }

    /**
     * The same streams against digests recorded while both modules agreed, so that the reference
     * may go. A change of the decisions that is meant changes them: then {@code
     * -Dmilletyoke.record=FILE} writes them anew, and the commit says why.
     */
    @Test
    void streamsMatchTheRecordedDigests() throws Exception {
        List<String> digests = new ArrayList<>();
        for (int seed = 1; seed <= 24; seed++) {
            EventStream stream = new EventStream(seed);
            RequestScheduler module = new RequestScheduler();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            List<Event> events = stream.start();
            for (int step = 0; step < 4_000; step++) {
                List<Action> told = module.decide(stream.now, events);
                digest.update(recordedForm(told).getBytes(StandardCharsets.UTF_8));
                stream.carryOut(told);
                events = stream.step();
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
    void returnsTheReferencesActionsForShrinkingStreams(
            @ForAll @IntRange(min = 1, max = 1 << 20) int seed,
            @ForAll @Size(min = 1, max = 800)
                    List<@IntRange(max = Integer.MAX_VALUE) Integer> steps) {
        EventStream stream = new EventStream(seed);
        RequestScheduler now = new RequestScheduler();
        milletyoke.scheduler.reference.ReferenceScheduler before =
                new milletyoke.scheduler.reference.ReferenceScheduler();
        List<Event> events = stream.start();
        for (int step : steps) {
            List<Action> expected = before.decide(stream.now, events);
            List<Action> told = now.decide(stream.now, events);
            assertEquals(expected, told);
            stream.carryOut(told);
            events = stream.step(step);
        }
    }
}
