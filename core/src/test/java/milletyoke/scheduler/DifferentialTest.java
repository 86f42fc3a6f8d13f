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
 * Compares the scheduler with the reference implementation in the package {@code reference}: both
 * get the same long random event streams and must return equal actions in every call.
 */
class DifferentialTest {
    /**
     * A random event stream that responds to the actions of a scheduler, independent of which
     * scheduler that is.
     */
    private static final class EventStream {
        private SplittableRandom random;
        final SchedulerSettings settings;
        final int shards;
        final int volumes;

        /** Whether a volume keeps its plan and number of initiators, as in production. */
        final boolean keepsPlans;

        /** Whether some requests are far larger than others. */
        final boolean hasUnevenSizes;

        final List<Action.SendAttempt> inFlight = new ArrayList<>();

        /** Writes of attempts that were not reported yet. */
        final List<Event.AttemptWritten> unreportedWrites = new ArrayList<>();

        final List<String> probes = new ArrayList<>();
        final java.util.Map<String, Integer> attempts = new java.util.HashMap<>();
        long now = 1_000_000_000L;
        long nextRequest;

        EventStream(long seed) {
            random = new SplittableRandom(seed);
            shards = 1 + random.nextInt(8);
            volumes = 1 + random.nextInt(60);
            boolean hasWarmUp = random.nextBoolean();
            keepsPlans = random.nextBoolean();
            hasUnevenSizes = random.nextInt(3) == 0;
            List<RequestClass> requestClasses =
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
                            requestClasses,
                            plans,
                            new Capabilities(
                                    1 + random.nextInt(3),
                                    random.nextBoolean(),
                                    random.nextBoolean(),
                                    random.nextBoolean(),
                                    500_000),
                            new RuleLimits(
                                    random.nextBoolean() ? 200_000 : 0,
                                    hasWarmUp ? 5_000_000 : 0,
                                    0.3,
                                    hasWarmUp ? 10 : 0,
                                    hasWarmUp ? 1_000_000 : 0,
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
            for (int shard = 0; shard < shards; shard++) {
                if (scope != Event.ListScope.UPDATE || random.nextInt(shards) == 0) {
                    boolean isRecentlyStarted = random.nextInt(6) == 0;
                    Event.Health health =
                            random.nextInt(8) == 0 ? Event.Health.DRAINING : Event.Health.ACTIVE;
                    targets.add(
                            new Event.Target(
                                    shard,
                                    "t" + shard + (random.nextInt(5) == 0 ? "n" : ""),
                                    "z" + shard % 2,
                                    health,
                                    isRecentlyStarted ? now - random.nextInt(2_000_000) : 0));
                }
            }
            return new Event.EndpointListReceived(scope, targets);
        }

        /**
         * Returns a step whose random numbers depend only on {@code choice}, so that leaving out a
         * step does not change the others.
         */
        List<Event> step(int choice) {
            random = new SplittableRandom(choice);
            return step();
        }

        List<Event> step() {
            now += random.nextInt(50) == 0 ? random.nextInt(400_000) : random.nextInt(6_000);
            List<Event> events = reportedWrites();
            for (int i = random.nextInt(5); i > 0; i--) {
                events.add(event());
            }
            if (events.isEmpty()) {
                events.add(new Event.WakeUp());
            }
            return events;
        }

        /** Some attempts are never reported as written, some later than in the next step. */
        private List<Event> reportedWrites() {
            List<Event> reported = new ArrayList<>();
            for (Event.AttemptWritten write : List.copyOf(unreportedWrites)) {
                int kind = Math.floorMod(write.id().hashCode() + attempts.get(write.id()), 8);
                boolean isLate = kind == 1 || kind == 2;
                if (!isLate || now - write.writtenAtMicros() > 60_000L * kind) {
                    unreportedWrites.remove(write);
                    if (kind > 0) {
                        reported.add(isLate ? new Event.AttemptWritten(write.id(), now) : write);
                    }
                }
            }
            return reported;
        }

        private Event event() {
            int kind = random.nextInt(100);
            if (kind < 45) {
                return requestReceived();
            } else if (kind < 85 && !inFlight.isEmpty()) {
                return attemptEnded();
            } else if (kind < 90 && !probes.isEmpty()) {
                boolean isSuccess = random.nextInt(5) > 0;
                return new Event.ProbeEnded(
                        probes.remove(random.nextInt(probes.size())),
                        isSuccess ? Outcome.SUCCEEDED : Outcome.TIMED_OUT,
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
            String requestClass = settings.requestClasses().get(random.nextInt(4)).name();
            int shard = random.nextInt(10) == 0 ? -1 : random.nextInt(shards);
            String extent = random.nextInt(3) == 0 ? null : "x" + random.nextInt(12);
            long timeToLiveMicros =
                    random.nextInt(6) == 0 ? 20_000 + random.nextInt(300_000) : 2_500_000;
            int volume = random.nextInt(volumes);
            double units =
                    hasUnevenSizes && random.nextInt(20) == 0
                            ? 1 + random.nextInt(40)
                            : 1 + random.nextInt(4);
            return new Event.RequestReceived(
                    "r" + nextRequest++,
                    shard,
                    extent,
                    "v" + volume,
                    timeToLiveMicros,
                    settings.plans().get(keepsPlans ? volume % 3 : random.nextInt(3)).name(),
                    requestClass,
                    keepsPlans ? 1 + volume % 2 : 1 + random.nextInt(3),
                    units);
        }

        private Event attemptEnded() {
            Action.SendAttempt attempt =
                    inFlight.remove(random.nextInt(Math.min(inFlight.size(), 6)));
            Outcome[] outcomes = Outcome.values();
            Outcome outcome =
                    random.nextInt(4) > 0
                            ? Outcome.SUCCEEDED
                            : outcomes[random.nextInt(outcomes.length)];
            int attemptNumber = attempts.get(attempt.id()) - 1;
            return new Event.AttemptEnded(
                    attempt.id(),
                    attemptNumber,
                    outcome == Outcome.SUCCEEDED,
                    outcome,
                    2_000 + random.nextInt(random.nextInt(8) == 0 ? 400_000 : 30_000));
        }

        void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Action.SendAttempt attempt) {
                    inFlight.add(attempt);
                    unreportedWrites.add(new Event.AttemptWritten(attempt.id(), now));
                    attempts.merge(attempt.id(), 1, Integer::sum);
                } else if (action instanceof Action.SendProbe probe) {
                    probes.add(probe.target());
                }
            }
        }
    }

    /**
     * Formats actions as they were when the digests were recorded; the former type names are part
     * of the text.
     */
    private static String recordedForm(List<Action> actions) {
        return actions.stream()
                .map(DifferentialTest::recordedForm)
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private static String recordedForm(Action action) {
        if (action instanceof Action.SendAttempt attempt) {
            return "Relay[id=%s, giveUpAt=%d, target=%s]"
                    .formatted(attempt.id(), attempt.deadlineMicros(), attempt.target());
        } else if (action instanceof Action.Reject rejection) {
            return "Reject[id=%s, retryIn=%d]"
                    .formatted(rejection.id(), rejection.retryAfterMicros());
        } else if (action instanceof Action.Fail failure) {
            return "BreakOff[id=%s]".formatted(failure.id());
        } else if (action instanceof Action.CancelAttempt cancellation) {
            return "Cancel[id=%s, relay=%d]"
                    .formatted(cancellation.id(), cancellation.attemptNumber());
        } else if (action instanceof Action.SendProbe probe) {
            return "Probe[target=%s]".formatted(probe.target());
        } else if (action instanceof Action.ScheduleWakeUp wakeUp) {
            return "Wake[in=%d]".formatted(wakeUp.delayMicros());
        }
        return "FollowList[]";
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, Integer.getInteger("milletyoke.streams", 24));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void returnsSameActionsAsReference(int seed) {
        EventStream stream = new EventStream(seed);
        RequestScheduler scheduler = new RequestScheduler();
        milletyoke.scheduler.reference.ReferenceScheduler reference =
                new milletyoke.scheduler.reference.ReferenceScheduler();
        List<Event> events = stream.start();
        long attemptsSent = 0;
        for (int step = 0; step < 4_000; step++) {
            List<Action> expected = reference.decide(stream.now, events);
            List<Action> actual = scheduler.decide(stream.now, events);
            int failedStep = step;
            assertEquals(
                    expected,
                    actual,
                    () ->
                            "seed "
                                    + seed
                                    + ", step "
                                    + failedStep
                                    + (stream.keepsPlans ? " with fixed plans" : "")
                                    + (stream.hasUnevenSizes ? " with uneven sizes" : "")
                                    + ", settings: "
                                    + stream.settings);
            stream.carryOut(actual);
            attemptsSent +=
                    actual.stream().filter(action -> action instanceof Action.SendAttempt).count();
            events = stream.step();
        }
        assertEquals(true, attemptsSent > 100, attemptsSent + " attempts sent");
    }

    /**
     * Compares the actions for the same streams with recorded digests, which do not depend on the
     * reference implementation. An intended change of the scheduler's decisions changes the
     * digests: then {@code -Dmilletyoke.record=FILE} writes them anew, and the commit says why.
     */
    @Test
    void streamsMatchTheRecordedDigests() throws Exception {
        List<String> digests = new ArrayList<>();
        for (int seed = 1; seed <= 24; seed++) {
            EventStream stream = new EventStream(seed);
            RequestScheduler scheduler = new RequestScheduler();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            List<Event> events = stream.start();
            for (int step = 0; step < 4_000; step++) {
                List<Action> actual = scheduler.decide(stream.now, events);
                digest.update(recordedForm(actual).getBytes(StandardCharsets.UTF_8));
                stream.carryOut(actual);
                events = stream.step();
            }
            digests.add(seed + " " + HexFormat.of().formatHex(digest.digest()));
        }
        String record = System.getProperty("milletyoke.record");
        if (record != null) {
            Files.write(Path.of(record), digests);
        }
        Path recorded = Path.of(DifferentialTest.class.getResource("/streams.txt").toURI());
        assertEquals(Files.readAllLines(recorded), digests);
    }

    /**
     * Compares both schedulers on streams that shrink: a failing stream is reduced to a short list
     * of steps.
     */
    @Property(
            tries = 150,
            seed = "20261201",
            edgeCases = EdgeCasesMode.NONE,
            generation = GenerationMode.RANDOMIZED)
    void returnsSameActionsAsReferenceForShrinkingStreams(
            @ForAll @IntRange(min = 1, max = 1 << 20) int seed,
            @ForAll @Size(min = 1, max = 800)
                    List<@IntRange(max = Integer.MAX_VALUE) Integer> steps) {
        EventStream stream = new EventStream(seed);
        RequestScheduler scheduler = new RequestScheduler();
        milletyoke.scheduler.reference.ReferenceScheduler reference =
                new milletyoke.scheduler.reference.ReferenceScheduler();
        List<Event> events = stream.start();
        for (int step : steps) {
            List<Action> expected = reference.decide(stream.now, events);
            List<Action> actual = scheduler.decide(stream.now, events);
            assertEquals(expected, actual);
            stream.carryOut(actual);
            events = stream.step(step);
        }
    }
}
