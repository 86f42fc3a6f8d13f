package milletyoke.simulation.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scenario.script.Scenario.Selection;

/**
 * Takes from a day what it does not need to be as bad: whole troubles first (delta debugging,
 * Zeller and Hildebrandt, IEEE Transactions on Software Engineering 28(2), 2002, with one at a
 * time), then half of how long and of how many.
 */
public final class ScenarioShrinker {
    private final Predicate<Scenario> stillBad;
    private int plays;

    /**
     * @param stillBad plays the day; must say the same of the same day every time
     */
    public ScenarioShrinker(Predicate<Scenario> stillBad) {
        this.stillBad = stillBad;
    }

    /** The smallest found; the day itself where nothing can go. */
    public Scenario smallest(Scenario day) {
        Scenario best = day;
        for (Scenario next = less(best); next != null; next = less(best)) {
            best = next;
        }
        return best;
    }

    /** How many days were played for it. */
    public int plays() {
        return plays;
    }

    private Scenario less(Scenario day) {
        List<Fault> all = day.faults();
        for (int n = 0; n < all.size() && all.size() > 1; n++) {
            List<Fault> fewer = new ArrayList<>(all);
            fewer.remove(n);
            if (bad(day, fewer)) {
                return day.with(day.name(), day.seed(), fewer);
            }
        }
        for (int n = 0; n < all.size(); n++) {
            for (Fault smaller : smaller(all.get(n))) {
                List<Fault> with = new ArrayList<>(all);
                with.set(n, smaller);
                if (bad(day, with)) {
                    return day.with(day.name(), day.seed(), with);
                }
            }
        }
        return null;
    }

    private boolean bad(Scenario day, List<Fault> troubles) {
        plays++;
        return stillBad.test(day.with(day.name(), day.seed(), troubles));
    }

    private static List<Fault> smaller(Fault t) {
        List<Fault> all = new ArrayList<>();
        if (t.durationMicros() > 400_000) {
            all.add(
                    new Fault(
                            t.atMicros(),
                            t.line(),
                            t.type(),
                            t.selection(),
                            t.durationMicros() / 2000 * 1000,
                            t.magnitude(),
                            t.range(),
                            t.intervalMicros(),
                            t.count(),
                            t.downtimeMicros(),
                            t.name(),
                            t.under()));
        }
        if (t.selection().part() > 0.2) {
            all.add(
                    new Fault(
                            t.atMicros(),
                            t.line(),
                            t.type(),
                            new Selection(Math.rint(5 * t.selection().part()) / 10, 0),
                            t.durationMicros(),
                            t.magnitude(),
                            t.range(),
                            t.intervalMicros(),
                            t.count(),
                            t.downtimeMicros(),
                            t.name(),
                            t.under()));
        }
        return all;
    }
}
