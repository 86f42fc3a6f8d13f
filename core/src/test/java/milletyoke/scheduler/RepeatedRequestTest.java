package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a request that is executed twice because it comes again with the same id. */
class RepeatedRequestTest {
    private static final long DEADLINE_MICROS = 2_000_000;
    private static final long WINDOW_MICROS = 500_000;
    private static final String ONCE = "once";
    private static final String KEYED = "keyed";
    private static final String READ = "read";

    private final RequestScheduler scheduler = new RequestScheduler();
    private long now = 1_000_000;
    private int requestCount;

    @BeforeEach
    void start() {
        decide(
                new Event.Started(1, settings()),
                new Event.EndpointListReceived(
                        Event.ListScope.REPLACE,
                        List.of(new Event.Target(0, "t", "z", Event.Health.ACTIVE, 0))));
    }

    private static SchedulerSettings settings() {
        return new SchedulerSettings(
                1,
                List.of(
                        requestClass(ONCE, Idempotency.NON_IDEMPOTENT, 0),
                        requestClass(KEYED, Idempotency.IDEMPOTENCY_KEY, WINDOW_MICROS),
                        requestClass(READ, Idempotency.IDEMPOTENT, 0)),
                List.of(new ServicePlan("p", 0, 1, 0, 0, 0)),
                new Capabilities(1, false, true, true, 500_000),
                new RuleLimits(0, 0, 1, 0, 0, 2, 0, 0, 0, 0),
                false,
                DEADLINE_MICROS);
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, long window) {
        return new RequestClass(
                name, idempotency, DeduplicationScope.ALL, window, false, 1_000_000, 1);
    }

    private List<Action> decide(Event... events) {
        now += 1_000;
        return scheduler.decide(now, List.of(events)).stream()
                .filter(action -> !(action instanceof Action.ScheduleWakeUp))
                .toList();
    }

    /** Submits a request and returns what is decided at once; its own id is the number of it. */
    private List<Action> receive(String volume, String requestClass, String transactionId) {
        requestCount++;
        return decide(
                new Event.RequestReceived(
                        "r" + requestCount,
                        0,
                        null,
                        volume,
                        DEADLINE_MICROS,
                        "p",
                        requestClass,
                        1,
                        1,
                        transactionId));
    }

    private void end(Outcome outcome) {
        boolean isAnswered = outcome == Outcome.SUCCEEDED;
        decide(new Event.AttemptEnded("r" + requestCount, 0, isAnswered, outcome, 1_000));
    }

    private static void assertSent(List<Action> actions) {
        assertInstanceOf(Action.SendAttempt.class, actions.get(0));
    }

    private void assertFailed(List<Action> actions) {
        assertEquals(List.of(new Action.Fail("r" + requestCount)), actions);
    }

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void aRequestThatMayHaveRunIsNotRunAgain(Outcome outcome) {
        boolean provablyNeverRan =
                outcome == Outcome.OVERLOADED
                        || outcome == Outcome.NOT_STARTED
                        || outcome == Outcome.NO_CONNECTION;
        assertSent(receive("v", ONCE, "id"));
        end(outcome);
        now += DEADLINE_MICROS - 100_000;
        List<Action> actions = receive("w", ONCE, "id");
        if (provablyNeverRan) {
            assertTrue(actions.stream().noneMatch(Action.Fail.class::isInstance));
        } else {
            assertFailed(actions);
        }
    }

    @Test
    void aRequestWhoseClientLeftIsNotRunAgain() {
        assertSent(receive("v", ONCE, "id"));
        decide(new Event.RequestClosed("r1"));
        decide(new Event.AttemptEnded("r1", 0, true, Outcome.CANCELLED, 1_000));
        assertFailed(receive("v", ONCE, "id"));
        assertFailed(receive("v", ONCE, "id"));
        assertSent(receive("v", ONCE, "other id"));
    }

    @Test
    void anIdIsForgottenAfterTheLongestDeadlineAndWindow() {
        assertSent(receive("v", ONCE, "id"));
        end(Outcome.SUCCEEDED);
        now += DEADLINE_MICROS + WINDOW_MICROS;
        assertSent(receive("v", ONCE, "id"));
    }

    @Test
    void idempotentRequestsMayComeAgain() {
        assertSent(receive("v", READ, "id"));
        end(Outcome.SUCCEEDED);
        assertSent(receive("v", READ, "id"));
    }

    @Test
    void anIdempotencyKeyMayComeAgainWithinItsWindowOnly() {
        assertSent(receive("v", KEYED, "id"));
        end(Outcome.SUCCEEDED);
        assertSent(receive("v", KEYED, "id"));
        end(Outcome.SUCCEEDED);
        now += WINDOW_MICROS;
        assertFailed(receive("v", KEYED, "id"));
    }

    /** One volume fills its half; it is rejected then, others are served, and no id is dropped. */
    @Test
    void aVolumeThatSendsManyIdsDropsNoneOfAnother() {
        assertSent(receive("other", ONCE, "id"));
        end(Outcome.SUCCEEDED);
        long startMicros = now;
        for (int i = 0; i < ExecutedRequests.MAX_IDS_PER_VOLUME; i++) {
            now = startMicros;
            assertSent(receive("flood", ONCE, "flood" + i));
            end(Outcome.SUCCEEDED);
        }
        now = startMicros;
        assertInstanceOf(Action.Reject.class, receive("flood", ONCE, "one more").get(0));
        assertSent(receive("other", ONCE, "second id"));
        end(Outcome.SUCCEEDED);
        assertFailed(receive("flood", ONCE, "flood0"));
        assertFailed(receive("flood", ONCE, "id"));
        now += DEADLINE_MICROS + WINDOW_MICROS + 10_000;
        assertSent(receive("flood", ONCE, "one more"));
    }
}
