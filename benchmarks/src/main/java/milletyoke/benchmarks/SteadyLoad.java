package milletyoke.benchmarks;

import java.util.ArrayDeque;
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

/**
 * Generates a steady load on one scheduler in virtual time, with constant numbers of pending
 * requests, volumes and targets.
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

    private final Scheduler scheduler;
    private final int volumes;
    private final int targets;
    private final ArrayDeque<String> inFlight = new ArrayDeque<>();
    private long nowMicros = 1_000_000_000L;
    private long nextRequestNumber;

    /** One of this many requests is for a new object; 0 for none. */
    int newObjectInterval;

    SteadyLoad(Scheduler scheduler, int pending, int volumes, int targets) {
        this.scheduler = scheduler;
        this.volumes = volumes;
        this.targets = targets;
        SchedulerSettings settings =
                new SchedulerSettings(
                        3,
                        List.of(SLOW, READ),
                        List.of(new ServicePlan("free", 2, 1, 0, 0, 0)),
                        new Capabilities(3, true, true, true, 500_000),
                        new RuleLimits(0, 0, 1, 0, 0, 1, 0, 0, 0, 10_000_000),
                        false);
        List<Event.Target> listedTargets = new ArrayList<>();
        for (int target = 0; target < targets; target++) {
            listedTargets.add(new Event.Target(target, "t" + target, "z", Event.Health.ACTIVE, 0));
        }
        decide(
                List.of(
                        new Event.Started(1, settings),
                        new Event.EndpointListReceived(Event.ListScope.REPLACE, listedTargets)));
        for (int volume = 0; volume < volumes; volume++) { // makes all volumes known
            nowMicros += 10;
            decide(List.of(requestReceived("read", nextRequestNumber)));
            if (!inFlight.isEmpty()) {
                decide(List.of(attemptEnded()));
            }
        }
        for (int request = 0; request < pending; request++) {
            decide(List.of(requestReceived("slow", nextRequestNumber)));
        }
    }

    /** Runs a turn in which one request arrives and one attempt ends. Returns the action count. */
    int turn() {
        nowMicros += 20;
        List<Event> events = new ArrayList<>(2);
        events.add(requestReceived("slow", nextRequestNumber));
        if (!inFlight.isEmpty()) {
            events.add(attemptEnded());
        }
        return decide(events);
    }

    private Event requestReceived(String requestClass, long number) {
        nextRequestNumber++;
        // A multiplicative hash spreads requests evenly over volumes, independently of targets.
        int volume = (int) (((number * 2_654_435_761L) >>> 7) & Integer.MAX_VALUE) % volumes;
        return new Event.RequestReceived(
                "s" + number,
                newObjectInterval > 0 && number % newObjectInterval == 0
                        ? -1
                        : (int) (number % targets),
                null,
                "v" + volume,
                700_000_000L,
                "free",
                requestClass,
                1,
                1);
    }

    private Event attemptEnded() {
        return new Event.AttemptEnded(inFlight.pollFirst(), 0, true, Outcome.SUCCEEDED, 3_000);
    }

    private int decide(List<Event> events) {
        List<Action> actions = scheduler.decide(nowMicros, events);
        for (Action action : actions) {
            if (action instanceof Action.SendAttempt attempt) {
                inFlight.addLast(attempt.id());
            }
        }
        return actions.size();
    }
}
