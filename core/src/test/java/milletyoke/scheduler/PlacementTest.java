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
 * Tests that new objects are placed with odds in proportion to spare capacity, both by weighing few
 * shards and by rejection sampling over many.
 */
class PlacementTest {
    private final RequestScheduler scheduler = new RequestScheduler();

    private List<Action> decide(Event... events) {
        return scheduler.decide(
                1_000_000, // constant, so that nothing becomes late or unresponsive
                List.of(events));
    }

    private Map<String, Integer> placements(int targets, int draws) {
        SchedulerSettings settings =
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
        for (int target = 0; target < targets; target++) {
            list.add(new Event.Target(target, "t" + target, "z", Event.Health.ACTIVE, 0));
        }
        decide(
                new Event.Started(7, settings),
                new Event.EndpointListReceived(Event.ListScope.REPLACE, list));
        // three attempts in flight at each target of the first half leave it a quarter of the
        // spare capacity of the others, at a limit of four
        for (int request = 0; request < targets / 2 * 3; request++) {
            decide(
                    new Event.RequestReceived(
                            "held" + request,
                            request % (targets / 2),
                            null,
                            "v",
                            60_000_000,
                            "p",
                            "w",
                            1,
                            1));
        }
        Map<String, Integer> placed = new HashMap<>();
        for (int request = 0; request < draws; request++) {
            for (Action action :
                    decide(
                            new Event.RequestReceived(
                                    "new" + request, -1, null, "v", 60_000_000, "p", "w", 1, 1))) {
                if (action instanceof Action.SendAttempt attempt
                        && attempt.id().equals("new" + request)) {
                    placed.merge(attempt.target(), 1, Integer::sum);
                    // a cancelled attempt changes neither limits nor latencies
                    decide(new Event.AttemptEnded(attempt.id(), 0, true, Outcome.CANCELLED, 0));
                }
            }
        }
        return placed;
    }

    @ParameterizedTest
    @ValueSource(ints = {60, 80, 2000})
    void choosesShardsInProportionToSpareCapacity(int targets) {
        int draws = 20_000;
        Map<String, Integer> placed = placements(targets, draws);
        int all = placed.values().stream().mapToInt(i -> i).sum();
        int toBusy = 0;
        for (int target = 0; target < targets / 2; target++) {
            toBusy += placed.getOrDefault("t" + target, 0);
        }
        assertEquals(draws, all, "every new object is sent at once");
        // one fifth, by weights of 1 and 4; five standard deviations of the binomial are 0.014
        assertEquals(0.2, toBusy / (double) all, 0.015, toBusy + " to busy targets of " + all);
        assertTrue(placed.size() > targets * 0.95 || targets > 1000, "most targets must be chosen");
    }
}
