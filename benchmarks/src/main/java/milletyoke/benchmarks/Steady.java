package milletyoke.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import milletyoke.port.Action;
import milletyoke.port.Event;
import milletyoke.port.Outcome;
import milletyoke.port.Provisioning;
import milletyoke.port.Provisioning.*;

/**
 * A steady stream round one module: so many accesses held, so many volumes known, so many targets;
 * time is made up.
 */
final class Steady {
    private static final Category SLOW =
            new Category("slow", Repeats.HARMLESS, Group.ALL, 0, false, 600_000_000L, 1);
    private static final Category READ =
            new Category("read", Repeats.HARMLESS, Group.ALL, 0, false, 400_000, 2);

    private final BiFunction<Long, List<Event>, List<Action>> module;
    private final int volumes;
    private final int targets;
    private final ArrayDeque<String> out = new ArrayDeque<>();
    private long now = 1_000_000_000L;
    private long next;

    /** Every so many-th access is a new object; 0 for none. */
    int newEvery;

    Steady(BiFunction<Long, List<Event>, List<Action>> module, int held, int volumes, int targets) {
        this.module = module;
        this.volumes = volumes;
        this.targets = targets;
        Provisioning given =
                new Provisioning(
                        3,
                        List.of(SLOW, READ),
                        List.of(new Plan("free", 2, 1, 0, 0, 0)),
                        new Allowances(3, true, true, true, 500_000),
                        new Bounds(0, 0, 1, 0, 0, 1, 0, 0, 0, 10_000_000),
                        false);
        List<Event.Target> listed = new ArrayList<>();
        for (int t = 0; t < targets; t++) {
            listed.add(new Event.Target(t, "t" + t, "z", Event.Health.ON, 0));
        }
        tell(List.of(new Event.Start(1, given), new Event.TargetList(Event.Scope.REPLACE, listed)));
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
        return new Event.Access(
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
        return new Event.Ended(out.pollFirst(), 0, true, Outcome.SUCCEEDED, 3_000);
    }

    private int tell(List<Event> events) {
        List<Action> actions = module.apply(now, events);
        for (Action a : actions) {
            if (a instanceof Action.Relay r) {
                out.addLast(r.id());
            }
        }
        return actions.size();
    }
}
