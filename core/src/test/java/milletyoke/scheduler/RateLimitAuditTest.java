package milletyoke.scheduler;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Audits a rate limit as the targets do: a request takes its units when its last byte arrives,
 * which may be long after its attempt was decided.
 */
class RateLimitAuditTest {
    private static final double RATE = 9;
    private static final double BURST = 36;
    private static final double SLACK = 1.35;
    private static final int TARGETS = 40;
    private static final long OBJECTIVE_MICROS = 300_000;
    private static final long DEADLINE_MICROS = 3_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final long MAX_LATENESS_MICROS = 1_500_000;
    private static final int CYCLE_STEPS = 800;
    private static final int CYCLES = 100;

    private final RequestScheduler scheduler = new RequestScheduler();
    private final Map<String, Integer> attemptNumbers = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();
    private final List<PlannedEnd> planned = new ArrayList<>();
    private final SplittableRandom random;
    private long now = 1_000_000_000;
    private long auditedAt = now;
    private double contents = BURST;
    private double lowestContents = BURST;
    private int arrivedCount;

    RateLimitAuditTest() {
        random = new SplittableRandom(20261204);
    }

    /** An attempt that arrives after it waited for its connection, or that never arrives. */
    private record PlannedEnd(String id, int attemptNumber, long at, Outcome outcome) {}

    private static SchedulerSettings settings() {
        return new SchedulerSettings(
                3,
                List.of(
                        new RequestClass(
                                "read",
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.ALL,
                                0,
                                false,
                                OBJECTIVE_MICROS,
                                1)),
                List.of(new ServicePlan("capped", 0, 1, RATE, BURST, SLACK)),
                new Capabilities(3, false, false, false, 0),
                new RuleLimits(0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                false);
    }

    private void arrive(String id) {
        contents = Math.min(BURST, contents + RATE * (now - auditedAt) / 1e6);
        auditedAt = now;
        contents -= sizes.remove(id);
        lowestContents = Math.min(lowestContents, contents);
        arrivedCount++;
    }

    private void carryOut(Action action, double lateShare) {
        if (action instanceof Action.SendAttempt attempt) {
            int attemptNumber = attemptNumbers.merge(attempt.id(), 1, Integer::sum) - 1;
            boolean isLate = random.nextDouble() < lateShare;
            long at = now + (isLate ? random.nextLong(MAX_LATENESS_MICROS) : 0);
            Outcome outcome =
                    isLate && random.nextInt(4) == 0 ? Outcome.NO_CONNECTION : Outcome.SUCCEEDED;
            planned.add(new PlannedEnd(attempt.id(), attemptNumber, at, outcome));
        }
    }

    /** Arrivals and failures that are due now. */
    private List<Event> dueEvents() {
        List<Event> events = new ArrayList<>();
        for (PlannedEnd end : List.copyOf(planned)) {
            if (end.at() <= now) {
                planned.remove(end);
                boolean arrives = end.outcome() == Outcome.SUCCEEDED;
                if (arrives && sizes.containsKey(end.id())) {
                    arrive(end.id());
                    events.add(new Event.AttemptWritten(end.id(), now));
                }
                events.add(
                        new Event.AttemptEnded(
                                end.id(), end.attemptNumber(), arrives, end.outcome(), 1_000));
            }
        }
        return events;
    }

    /**
     * In each cycle the bucket fills, some requests arrive, and within the time that their
     * connections may take a burst of several times the bucket's depth.
     */
    private List<Event> arrivals(int step) {
        List<Event> events = new ArrayList<>();
        int phase = step % CYCLE_STEPS;
        boolean isBurst = phase == 0 || (phase > 60 + step / CYCLE_STEPS % 70 && phase < 150);
        for (int i = 0; isBurst && i < 3; i++) {
            String id = "r" + step + "-" + i;
            sizes.put(id, 1 + random.nextInt(3));
            events.add(
                    new Event.RequestReceived(
                            id,
                            random.nextInt(TARGETS),
                            null,
                            "v",
                            DEADLINE_MICROS,
                            "capped",
                            "read",
                            1,
                            sizes.get(id)));
        }
        return events;
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.33, 0.8})
    void arrivalsStayWithinTheLimit(double lateShare) {
        List<Event.Target> targets = new ArrayList<>();
        for (int shard = 0; shard < TARGETS; shard++) {
            targets.add(new Event.Target(shard, "t" + shard, "z", Event.Health.ACTIVE, 0));
        }
        scheduler.decide(
                now,
                List.of(
                        new Event.Started(7, settings()),
                        new Event.EndpointListReceived(Event.ListScope.RESTORED, targets)));
        for (int step = 0; step < CYCLES * CYCLE_STEPS; step++) {
            now += STEP_MICROS;
            List<Event> events = dueEvents();
            events.addAll(arrivals(step));
            events.add(new Event.WakeUp());
            scheduler.decide(now, events).forEach(action -> carryOut(action, lateShare));
        }
        assertTrue(arrivedCount > 200, arrivedCount + " requests arrived");
        assertTrue(
                lowestContents >= -SLACK,
                "units beyond the limit: " + -lowestContents + ", allowed: " + SLACK);
    }
}
