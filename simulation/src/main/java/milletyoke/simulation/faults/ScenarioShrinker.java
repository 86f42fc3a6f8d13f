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
    private final Predicate<Scenario> stillFails;
    private int runCount;

    /**
     * @param stillFails plays the day; must say the same of the same day every time
     */
    public ScenarioShrinker(Predicate<Scenario> stillBad) {
        this.stillFails = stillBad;
    }

    /** The smallest found; the day itself where nothing can go. */
    public Scenario smallest(Scenario scenario) {
        Scenario best = scenario;
        for (Scenario next = nextSmaller(best); next != null; next = nextSmaller(best)) {
            best = next;
        }
        return best;
    }

    /** How many days were played for it. */
    public int runCount() {
        return runCount;
    }

    private Scenario nextSmaller(Scenario scenario) {
        List<Fault> all = scenario.faults();
        for (int n = 0; n < all.size() && all.size() > 1; n++) {
            List<Fault> fewer = new ArrayList<>(all);
            fewer.remove(n);
            if (fails(scenario, fewer)) {
                return scenario.withFaults(scenario.name(), scenario.seed(), fewer);
            }
        }
        for (int n = 0; n < all.size(); n++) {
            for (Fault smaller : smaller(all.get(n))) {
                List<Fault> with = new ArrayList<>(all);
                with.set(n, smaller);
                if (fails(scenario, with)) {
                    return scenario.withFaults(scenario.name(), scenario.seed(), with);
                }
            }
        }
        return null;
    }

    private boolean fails(Scenario scenario, List<Fault> troubles) {
        runCount++;
        return stillFails.test(scenario.withFaults(scenario.name(), scenario.seed(), troubles));
    }

    private static List<Fault> smaller(Fault fault) {
        List<Fault> all = new ArrayList<>();
        if (fault.durationMicros() > 400_000) {
            all.add(
                    new Fault(
                            fault.atMicros(),
                            fault.line(),
                            fault.type(),
                            fault.selection(),
                            fault.durationMicros() / 2000 * 1000,
                            fault.magnitude(),
                            fault.range(),
                            fault.intervalMicros(),
                            fault.count(),
                            fault.downtimeMicros(),
                            fault.name(),
                            fault.belowServiceLevel()));
        }
        if (fault.selection().part() > 0.2) {
            all.add(
                    new Fault(
                            fault.atMicros(),
                            fault.line(),
                            fault.type(),
                            new Selection(Math.rint(5 * fault.selection().part()) / 10, 0),
                            fault.durationMicros(),
                            fault.magnitude(),
                            fault.range(),
                            fault.intervalMicros(),
                            fault.count(),
                            fault.downtimeMicros(),
                            fault.name(),
                            fault.belowServiceLevel()));
        }
        return all;
    }
}
