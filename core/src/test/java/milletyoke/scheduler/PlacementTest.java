package milletyoke.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Placement of new objects: odds in proportion to room, by weighing few shards and by rejection
 * sampling over many alike.
 */
class PlacementTest {
    private final RequestScheduler scheduler = new RequestScheduler();

    private List<Action> decide(Event... events) {
        return scheduler.decide(
                1_000_000, // no time passes: nothing becomes late or unresponsive
                List.of(events));
    }

    private Map<String, Integer> placements(int targets, int draws) {
        SchedulerSettings given =
                new SchedulerSettings(
                        1,
                        List.of(
                                new RequestClass(
                                        "w",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        false,
                                        400_000,
                                        1)),
                        List.of(new ServicePlan("p", 0, 1, 0, 0, 0)),
                        new Capabilities(3, false, false, true, 500_000),
                        new RuleLimits(0, 0, 1, 0, 0, 1, 0, 0, 0, 10_000_000),
                        false);
        List<Event.Target> list = new ArrayList<>();
        for (int t = 0; t < targets; t++) {
            list.add(new Event.Target(t, "t" + t, "z", Event.Health.ACTIVE, 0));
        }
        decide(
                new Event.Started(7, given),
                new Event.EndpointListReceived(Event.ListScope.REPLACE, list));
        // the first half has three attempts in flight each, so a limit of four leaves a quarter of
        // the room
        // that it leaves elsewhere
        for (int n = 0; n < targets / 2 * 3; n++) {
            decide(
                    new Event.RequestReceived(
                            "held" + n, n % (targets / 2), null, "v", 60_000_000, "p", "w", 1, 1));
        }
        Map<String, Integer> to = new HashMap<>();
        for (int n = 0; n < draws; n++) {
            for (Action a :
                    decide(
                            new Event.RequestReceived(
                                    "new" + n, -1, null, "v", 60_000_000, "p", "w", 1, 1))) {
                if (a instanceof Action.SendAttempt r && r.id().equals("new" + n)) {
                    to.merge(r.target(), 1, Integer::sum);
                    // cancelled, so that limits and latencies stay as they were
                    decide(new Event.AttemptEnded(r.id(), 0, true, Outcome.CANCELLED, 0));
                }
            }
        }
        return to;
    }

    @ParameterizedTest
    @ValueSource(ints = {60, 80, 2000})
    void choosesShardsInProportionToTheirRoom(int targets) {
        int draws = 20_000;
        Map<String, Integer> to = placements(targets, draws);
        int all = to.values().stream().mapToInt(i -> i).sum();
        int toBusy = 0;
        for (int t = 0; t < targets / 2; t++) {
            toBusy += to.getOrDefault("t" + t, 0);
        }
        assertEquals(draws, all, "every new object went out at once");
        // a fifth: rooms of 1 and 4; five standard deviations of a binomial are 1.4 in a hundred
        assertEquals(0.2, toBusy / (double) all, 0.015, toBusy + " of " + all);
        assertTrue(to.size() > targets * 0.95 || targets > 1000, "nobody is left out");
    }
}
