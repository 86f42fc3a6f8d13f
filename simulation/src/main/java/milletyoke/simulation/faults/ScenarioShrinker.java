package milletyoke.simulation.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import milletyoke.scenario.script.Scenario;
import milletyoke.scenario.script.Scenario.Fault;
import milletyoke.scenario.script.Scenario.Selection;

/**
 * Reduces the faults of a failing scenario to those needed for the failure. Whole faults are
 * removed first, one at a time (delta debugging, Zeller and Hildebrandt, IEEE Transactions on
 * Software Engineering 28(2), 2002); then the durations and the fractions of targets hit are
 * halved.
 */
public final class ScenarioShrinker {
    /** Durations up to this are not halved. */
    private static final long MAX_UNHALVED_MICROS = 400_000;

    /** Fractions of targets up to this are not halved. */
    private static final double MAX_UNHALVED_FRACTION = 0.2;

    private final Predicate<Scenario> stillFails;
    private int runCount;

    /**
     * Creates a shrinker.
     *
     * @param stillFails runs a scenario and returns whether it still fails; must be deterministic
     */
    public ScenarioShrinker(Predicate<Scenario> stillFails) {
        this.stillFails = stillFails;
    }

    /**
     * Returns the smallest failing scenario found, or the scenario itself if it cannot be reduced.
     */
    public Scenario shrink(Scenario scenario) {
        Scenario smallest = scenario;
        for (Scenario next = nextSmaller(smallest); next != null; next = nextSmaller(smallest)) {
            smallest = next;
        }
        return smallest;
    }

    /** Returns the number of scenarios that were run. */
    public int runCount() {
        return runCount;
    }

    private Scenario nextSmaller(Scenario scenario) {
        List<Fault> faults = scenario.faults();
        for (int i = 0; i < faults.size() && faults.size() > 1; i++) {
            List<Fault> remaining = new ArrayList<>(faults);
            remaining.remove(i);
            if (fails(scenario, remaining)) {
                return scenario.withFaults(scenario.name(), scenario.seed(), remaining);
            }
        }
        for (int i = 0; i < faults.size(); i++) {
            for (Fault variant : halvedVariants(faults.get(i))) {
                List<Fault> changed = new ArrayList<>(faults);
                changed.set(i, variant);
                if (fails(scenario, changed)) {
                    return scenario.withFaults(scenario.name(), scenario.seed(), changed);
                }
            }
        }
        return null;
    }

    private boolean fails(Scenario scenario, List<Fault> faults) {
        runCount++;
        return stillFails.test(scenario.withFaults(scenario.name(), scenario.seed(), faults));
    }

    private static List<Fault> halvedVariants(Fault fault) {
        List<Fault> variants = new ArrayList<>();
        if (fault.durationMicros() > MAX_UNHALVED_MICROS) {
            variants.add(
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
        if (fault.selection().part() > MAX_UNHALVED_FRACTION) {
            variants.add(
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
        return variants;
    }
}
