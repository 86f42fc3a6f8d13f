package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.Scheduler;
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
 * Measures the time of one turn with many pending requests and known volumes, compared with the
 * reference implementation in the same run. Prints times; asserts only that both send as many
 * attempts.
 */
@Timeout(120)
class StepCostTest {
    private static final int TARGETS = 30;
    private static final int STEPS = 1_500;

    @Test
    void sendsAsManyAttemptsAsTheReference() {
        for (int[] size :
                new int[][] {{100, 100}, {1_000, 2_000}, {5_000, 2_000}, {1_000, 20_000}}) {
            RequestScheduler scheduler = new RequestScheduler();
            milletyoke.scheduler.reference.ReferenceScheduler reference =
                    new milletyoke.scheduler.reference.ReferenceScheduler();
            long[] attemptsSent = new long[2];
            double schedulerMicros = micros(scheduler, size[0], size[1], attemptsSent, 0);
            double referenceMicros = micros(reference::decide, size[0], size[1], attemptsSent, 1);
            assertEquals(attemptsSent[1], attemptsSent[0]);
            System.out.printf(
                    "%d pending requests, %d volumes: %.1f us per call, reference %.1f us, ratio %.1f%n",
                    size[0],
                    size[1],
                    schedulerMicros,
                    referenceMicros,
                    referenceMicros / schedulerMicros);
        }
    }

    private static double micros(
            Scheduler scheduler, int pending, int volumes, long[] attemptsSent, int index) {
        List<Event> start = new ArrayList<>(List.of(new Event.Started(1, settings())));
        List<Event.Target> targets = new ArrayList<>();
        for (int target = 0; target < TARGETS; target++) {
            targets.add(new Event.Target(target, "t" + target, "z", Event.Health.ACTIVE, 0));
        }
        start.add(new Event.EndpointListReceived(Event.ListScope.REPLACE, targets));
        long time = 1_000_000_000L;
        List<Action> inFlight = new ArrayList<>(attemptsOf(scheduler.decide(time, start)));
        for (int volume = 0; volume < volumes; volume++) { // one request of every volume
            time += 100;
            List<Action> actions =
                    scheduler.decide(
                            time,
                            List.of(
                                    requestReceived(
                                            "w" + volume, volume % TARGETS, volume, "read")));
            for (Action.SendAttempt attempt : attemptsOf(actions)) {
                scheduler.decide(
                        time + 50,
                        List.of(
                                new Event.AttemptEnded(
                                        attempt.id(), 0, true, Outcome.SUCCEEDED, 50)));
            }
        }
        for (int request = 0;
                request < pending;
                request++) { // half wait for a shard without target, half for busy ones
            inFlight.addAll(
                    attemptsOf(
                            scheduler.decide(
                                    time,
                                    List.of(
                                            requestReceived(
                                                    "h" + request,
                                                    request % 2 == 0 ? TARGETS : request % TARGETS,
                                                    request % volumes,
                                                    "slow")))));
        }
        int attemptNumber = 0;
        long startedAt = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            time += 20;
            List<Event> events =
                    new ArrayList<>(
                            List.of(requestReceived("s" + i, i % TARGETS, i % volumes, "slow")));
            if (!inFlight.isEmpty()) {
                Action.SendAttempt attempt = (Action.SendAttempt) inFlight.remove(0);
                events.add(
                        new Event.AttemptEnded(
                                attempt.id(), attemptNumber, true, Outcome.SUCCEEDED, 3_000));
            }
            List<Action.SendAttempt> sent = attemptsOf(scheduler.decide(time, events));
            attemptsSent[index] += sent.size();
            inFlight.addAll(sent);
        }
        return (System.nanoTime() - startedAt) / 1e3 / STEPS;
    }

    private static SchedulerSettings settings() {
        RequestClass slow =
                new RequestClass(
                        "slow",
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false,
                        600_000_000L,
                        1);
        RequestClass read =
                new RequestClass(
                        "read",
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false,
                        400_000,
                        2);
        return new SchedulerSettings(
                3,
                List.of(slow, read),
                List.of(new ServicePlan("free", 2, 1, 0, 0, 0)),
                new Capabilities(3, true, true, true, 500_000),
                new RuleLimits(0, 0, 1, 0, 0, 1, 0, 0, 0, 10_000_000),
                false);
    }

    private static Event requestReceived(String id, int shard, int volume, String requestClass) {
        return new Event.RequestReceived(
                id, shard, null, "v" + volume, 700_000_000L, "free", requestClass, 1, 1);
    }

    private static List<Action.SendAttempt> attemptsOf(List<Action> actions) {
        return actions.stream()
                .filter(action -> action instanceof Action.SendAttempt)
                .map(action -> (Action.SendAttempt) action)
                .toList();
    }
}
