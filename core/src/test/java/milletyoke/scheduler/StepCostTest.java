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
 * The time of one turn with many pending requests and known volumes, beside the reference, in one
 * run. Prints times; asserts only that both sent as many attempts.
 */
@Timeout(120)
class StepCostTest {
    private static final int TARGETS = 30;
    private static final int STEPS = 1_500;

    @Test
    void sendsAsManyAttemptsAsTheReference() {
        for (int[] size :
                new int[][] {{100, 100}, {1_000, 2_000}, {5_000, 2_000}, {1_000, 20_000}}) {
            RequestScheduler now = new RequestScheduler();
            milletyoke.scheduler.reference.ReferenceScheduler before =
                    new milletyoke.scheduler.reference.ReferenceScheduler();
            long[] relays = new long[2];
            double a = micros(now, size[0], size[1], relays, 0);
            double b = micros(before::decide, size[0], size[1], relays, 1);
            assertEquals(relays[1], relays[0]);
            System.out.printf(
                    "%d held, %d volumes: %.1f us a call, %.1f before, ratio %.1f%n",
                    size[0], size[1], a, b, b / a);
        }
    }

    private static double micros(Scheduler module, int held, int volumes, long[] relays, int of) {
        List<Event> start = new ArrayList<>(List.of(new Event.Started(1, settings())));
        List<Event.Target> targets = new ArrayList<>();
        for (int t = 0; t < TARGETS; t++) {
            targets.add(new Event.Target(t, "t" + t, "z", Event.Health.ACTIVE, 0));
        }
        start.add(new Event.EndpointListReceived(Event.ListScope.REPLACE, targets));
        long time = 1_000_000_000L;
        List<Action> out = new ArrayList<>(attemptsOf(module.decide(time, start)));
        for (int v = 0; v < volumes; v++) { // every volume was here once
            time += 100;
            List<Action> acts =
                    module.decide(time, List.of(requestReceived("w" + v, v % TARGETS, v, "read")));
            for (Action.SendAttempt r : attemptsOf(acts)) {
                module.decide(
                        time + 50,
                        List.of(new Event.AttemptEnded(r.id(), 0, true, Outcome.SUCCEEDED, 50)));
            }
        }
        for (int h = 0;
                h < held;
                h++) { // those wait for a shard that nobody holds, and for busy ones
            out.addAll(
                    attemptsOf(
                            module.decide(
                                    time,
                                    List.of(
                                            requestReceived(
                                                    "h" + h,
                                                    h % 2 == 0 ? TARGETS : h % TARGETS,
                                                    h % volumes,
                                                    "slow")))));
        }
        int attempt = 0;
        long began = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            time += 20;
            List<Event> events =
                    new ArrayList<>(
                            List.of(requestReceived("s" + i, i % TARGETS, i % volumes, "slow")));
            if (!out.isEmpty()) {
                Action.SendAttempt r = (Action.SendAttempt) out.remove(0);
                events.add(new Event.AttemptEnded(r.id(), attempt, true, Outcome.SUCCEEDED, 3_000));
            }
            List<Action.SendAttempt> more = attemptsOf(module.decide(time, events));
            relays[of] += more.size();
            out.addAll(more);
        }
        return (System.nanoTime() - began) / 1e3 / STEPS;
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

    private static Event requestReceived(String id, int shard, int volume, String category) {
        return new Event.RequestReceived(
                id, shard, null, "v" + volume, 700_000_000L, "free", category, 1, 1);
    }

    private static List<Action.SendAttempt> attemptsOf(List<Action> actions) {
        return actions.stream()
                .filter(a -> a instanceof Action.SendAttempt)
                .map(a -> (Action.SendAttempt) a)
                .toList();
    }
}
