package milletyoke.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import milletyoke.scheduler.api.Action;
import milletyoke.scheduler.api.Event;
import milletyoke.scheduler.api.Outcome;
import milletyoke.scheduler.api.SchedulerSettings;
import milletyoke.scheduler.api.SchedulerSettings.*;

/**
 * A steady stream round one module: so many accesses held, so many volumes known, so many targets;
 * time is made up.
 */
final class SteadyLoad {
    private static final RequestClass SLOW =
            new RequestClass(
                    "slow",
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false,
                    600_000_000L,
                    1);
    private static final RequestClass READ =
            new RequestClass(
                    "read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false, 400_000, 2);

    private final BiFunction<Long, List<Event>, List<Action>> module;
    private final int volumes;
    private final int targets;
    private final ArrayDeque<String> out = new ArrayDeque<>();
    private long now = 1_000_000_000L;
    private long next;

    /** Every so many-th access is a new object; 0 for none. */
    int newEvery;

    SteadyLoad(
            BiFunction<Long, List<Event>, List<Action>> module,
            int held,
            int volumes,
            int targets) {
        this.module = module;
        this.volumes = volumes;
        this.targets = targets;
        SchedulerSettings given =
                new SchedulerSettings(
                        3,
                        List.of(SLOW, READ),
                        List.of(new ServicePlan("free", 2, 1, 0, 0, 0)),
                        new Capabilities(3, true, true, true, 500_000),
                        new RuleLimits(0, 0, 1, 0, 0, 1, 0, 0, 0, 10_000_000),
                        false);
        List<Event.Target> listed = new ArrayList<>();
        for (int t = 0; t < targets; t++) {
            listed.add(new Event.Target(t, "t" + t, "z", Event.Health.ACTIVE, 0));
        }
        tell(
                List.of(
                        new Event.Started(1, given),
                        new Event.EndpointListReceived(Event.ListScope.REPLACE, listed)));
        for (int v = 0; v < volumes; v++) { // every volume was here once
            now += 10;
            tell(List.of(access("read", next)));
            if (!out.isEmpty()) {
                tell(List.of(ended()));
            }
        }
        for (int h = 0; h < held; h++) {
            tell(List.of(access("slow", next)));
        }
    }

    /** One access comes and one ends. */
    int turn() {
        now += 20;
        List<Event> events = new ArrayList<>(2);
        events.add(access("slow", next));
        if (!out.isEmpty()) {
            events.add(ended());
        }
        return tell(events);
    }

    private Event access(String category, long number) {
        next++;
        // volumes and targets are drawn over all of them, out of step with each other
        int volume = (int) (number * 2_654_435_761L >>> 7 & Integer.MAX_VALUE) % volumes;
        return new Event.RequestReceived(
                "s" + number,
                newEvery > 0 && number % newEvery == 0 ? -1 : (int) (number % targets),
                null,
                "v" + volume,
                700_000_000L,
                "free",
                category,
                1,
                1);
    }

    private Event ended() {
        return new Event.AttemptEnded(out.pollFirst(), 0, true, Outcome.SUCCEEDED, 3_000);
    }

    private int tell(List<Event> events) {
        List<Action> actions = module.apply(now, events);
        for (Action a : actions) {
            if (a instanceof Action.SendAttempt r) {
                out.addLast(r.id());
            }
        }
        return actions.size();
    }
}
